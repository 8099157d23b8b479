package dispatching

import (
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/rollout"
)

// The judge of a roll-out repeats its state at these intervals, so that what the store has lost is written again.
const (
	judgeInterval = 200 * time.Millisecond // while the roll-out is running
	finalInterval = time.Second            // afterwards, for as long as the order exists
)

// progressInterval is the interval of the log lines on a running roll-out at its judge.
const progressInterval = time.Second

// rolloutJudge is implemented by dispatchers that judge roll-outs.
type rolloutJudge interface {
	TakeVerdicts() []rollout.Verdict
	Rollout() (rollout.Status, bool)
}

// judgedRollout is what the judge of a cell's roll-out has decided and told.
type judgedRollout struct {
	order   rollout.Order // order is the one that verdict is about.
	verdict rollout.State // verdict is the final state by the dispatcher; zero if there is none.
	told    time.Time     // told is when the state was last told.
	logged  time.Time     // logged is when the progress was last logged.
}

// judgeRollout tells the state of a cell's roll-out while this router is its judge: the holder of most stakes, of whom there is one at
// most. A verdict is told even if the stakes have been lost since, as it is written only where the store still shows the roll-out running.
func (r *Role) judgeRollout(now time.Time, cs *cellState) {
	judge, ok := cs.dispatcher.(rolloutJudge)
	if !ok || r.config.SetRollout == nil || r.directory == nil {
		return
	}
	verdicts := judge.TakeVerdicts()
	for i := range verdicts {
		r.takeVerdict(now, cs, &verdicts[i])
	}
	order := r.directory.Policy(cs.id).Rollout
	if order == nil || now.Sub(cs.rollout.told) < judgeInterval || order.State != rollout.Running && now.Sub(cs.rollout.told) < finalInterval {
		return
	}
	cs.rollout.told = now // Also without a majority: a snapshot at each tick would cost more than a judge that begins one interval later.
	snapshot := cs.dispatcher.Snapshot()
	if 2*snapshot.Held <= snapshot.Total {
		return
	}
	state := order.State
	if state == rollout.Running && cs.rollout.verdict != 0 && cs.rollout.order.IsSame(order) {
		state = cs.rollout.verdict
	}
	r.config.SetRollout(*order, state)
	if status, ok := judge.Rollout(); ok && state == rollout.Running && now.Sub(cs.rollout.logged) >= progressInterval {
		cs.rollout.logged = now
		r.config.Log.WithFields(evidence(now, cs, &status.Order, &status.Counts)).WithFields(logrus.Fields{"stage": status.Stage, "reason": status.Reason}).
			Info("A roll-out is running.")
	}
}

// takeVerdict tells a verdict at once, and logs it when it is new.
func (r *Role) takeVerdict(now time.Time, cs *cellState, verdict *rollout.Verdict) {
	isNew := cs.rollout.verdict != verdict.State || !cs.rollout.order.IsSame(&verdict.Order)
	cs.rollout = judgedRollout{order: verdict.Order, verdict: verdict.State, told: now, logged: cs.rollout.logged}
	r.config.SetRollout(verdict.Order, verdict.State)
	if !isNew {
		return
	}
	r.config.Log.WithFields(evidence(now, cs, &verdict.Order, &verdict.Counts)).
		WithFields(logrus.Fields{"state": verdict.State.String(), "reason": verdict.Reason}).Info("A roll-out is judged.")
}

// evidence returns what a roll-out is judged by, for the log.
func evidence(now time.Time, cs *cellState, order *rollout.Order, counts *rollout.Counts) logrus.Fields {
	return logrus.Fields{
		"cell": cs.id, "target": order.Target, "elapsed_ms": now.Sub(order.Seen).Milliseconds(), "confirmed_ms_ago": now.Sub(order.ConfirmedAt).Milliseconds(),
		"requests": counts.Requests, "exposed": counts.Exposed, "target_samples": counts.TargetSamples, "target_failures": counts.TargetFailures,
		"stable_samples": counts.StableSamples, "stable_failures": counts.StableFailures,
	}
}
