package dispatching

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/flight"
	"ryelug/core/result"
)

// keptQueryDelay is how long a router must have dispatched a cell before it asks the engines which
// prompt parts they have cached. It asks only if more than half of the entries have joined it: when
// all routers start together, each of them is a dispatcher for a moment, and an answer costs the engine time.
const keptQueryDelay = 100 * time.Millisecond

// Target is an endpoint that this router must poll.
type Target struct {
	Cell     cell.ID
	Endpoint cell.EndpointID
	Address  netip.AddrPort
	Need     flight.Need // Need says how soon the load report is needed; it is not used if Kept is set.
	Kept     bool        // Kept asks, once, which prompt parts the engine has cached, instead of asking for its load.
}

// Targets returns the endpoints to poll, for the cells that at least one entry has joined here.
func (r *Role) Targets(now time.Time) []Target {
	var targets []Target
	for id, cs := range r.cells {
		if len(cs.entries) == 0 {
			continue
		}
		if cs.reportBased == nil {
			targets = append(targets, r.keptTargets(now, cs)...)
			continue
		}
		for _, endpoint := range r.directory.Endpoints(id) {
			targets = append(targets, Target{
				Cell: id, Endpoint: endpoint, Address: r.directory.Address(endpoint), Need: cs.reportBased.Need(endpoint),
			})
		}
	}
	return targets
}

// keptTargets returns the engines of a cell that must be asked which prompt parts they have cached, since a
// dispatcher that has just taken the cell over can't know that. It returns none before keptQueryDelay has passed. Engines
// stay targets when the majority of the entries is lost: one that becomes a target again is asked again.
func (r *Role) keptTargets(now time.Time, cs *cellState) (targets []Target) {
	policy := r.directory.Policy(cs.id)
	hasMajority := 2*len(cs.entries) > len(policy.EntryDataCentres)
	cs.queriesKept = cs.queriesKept || hasMajority && now.Sub(cs.activeSince) >= keptQueryDelay
	if policy.Engine == nil || !cs.queriesKept {
		return nil
	}
	for i := range policy.Endpoints {
		endpoint := &policy.Endpoints[i]
		if !endpoint.Closed {
			targets = append(targets, Target{Cell: cs.id, Endpoint: endpoint.Endpoint, Address: r.directory.Address(endpoint.Endpoint), Kept: true})
		}
	}
	return targets
}

// ReportDue returns the latest time in (after, by] at which a recently lent stake can begin to count at cold endpoints.
// It counts there once a load report made at that time or later arrives, which includes every request that the
// stake's previous holder granted and that still runs. ReportDue returns the zero time if there is no such time.
func (r *Role) ReportDue(after, by time.Time) time.Time {
	var last time.Time
	for _, cs := range r.cells {
		if cs.reportBased == nil {
			continue
		}
		if due := cs.reportBased.ReportDue(after, by); due.After(last) {
			last = due
		}
	}
	return last
}

// RequestReports makes load reports due now for the cold endpoints that need a newer report before every stake held
// here can count there.
func (r *Role) RequestReports(now time.Time) {
	for _, cs := range r.cells {
		if cs.reportBased != nil {
			cs.reportBased.RequestReports(now)
		}
	}
}

// TakeReportRequested reports whether, since the last call, an endpoint's report has become due ahead of its schedule.
func (r *Role) TakeReportRequested() bool {
	wanted := false
	for _, cs := range r.cells {
		wanted = cs.reportBased != nil && cs.reportBased.TakeReportRequested() || wanted
	}
	return wanted
}

// Report passes on the result of polling an endpoint: a dispatch.Load, dispatch.CacheReport or dispatch.Unreachable.
func (r *Role) Report(now time.Time, id cell.ID, event dispatch.Event) { r.dispatch(now, id, event) }

// logRefusal logs the predictions that a refusal is based on, at most refusalLogRate times a second. The log of the
// entry says which request the attempt belongs to.
func (r *Role) logRefusal(cs *cellState, action *dispatch.RefuseTo) {
	if cs.reportBased != nil || !r.refusalLogLimiter.Allow() {
		return // The entry logs every refusal anyway.
	}
	details := &action.RefusalDetails
	info, _ := result.Lookup(action.Code)
	fields := logrus.Fields{
		"cell": cs.id, "entry": action.Router, "attempt": action.Attempt, "code": info.Name, "team": details.Team,
		"within_share": details.WithinShare, "left_ms": details.TimeLeft.Milliseconds(), "best_ms": details.Best.Milliseconds(),
		"waited_ms": details.Waited.Milliseconds(), "retry_after_ms": action.RetryAfter.Milliseconds(),
		"class": details.Class, "tokens": details.Tokens, "no_slot": details.Obstacles.Slots, "no_memory": details.Obstacles.Memory,
		"pauses": details.Obstacles.Pauses, "too_late": details.Obstacles.Time, "resting": details.Obstacles.Unavailable,
		"generation": r.directory.Generation,
	}
	if details.CallRate > 0 {
		fields["call_rate"], fields["call_ms"] = int(details.CallRate), details.CallTime.Milliseconds()
	}
	r.config.Log.WithFields(fields).Info("A request is refused.")
}
