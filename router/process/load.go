package process

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/result"
	"ryelug/io/clock"
	"ryelug/io/operator"
	"ryelug/io/pause"
	"ryelug/router"
)

// loadSpan is the time between two lines on the load of a router, that between two checks of the balancer.
const loadSpan = time.Second

// load is what a process has done since its start.
type load struct {
	at         time.Time
	processor  time.Duration
	traffic    router.Traffic
	overloaded int64
	ready      int64
	notReady   int64
	dropped    int64
}

func (p *Process) load() (load, error) {
	processor, err := clock.Processor()
	overloaded, _ := result.Lookup(result.Overloaded)
	return load{
		at:         time.Now(),
		processor:  processor,
		traffic:    p.router.Traffic(),
		overloaded: p.vars.Count(operator.Requests, overloaded.Name),
		ready:      p.vars.Count(operator.Checks, operator.CheckReady),
		notReady:   p.vars.Count(operator.Checks, operator.CheckNotReady),
		dropped:    p.dropped(),
	}, err
}

// isIdle tells whether no caller has come since an earlier time.
func (l *load) isIdle(since *load) bool {
	return l.traffic.AtHand == 0 && l.traffic.Accepted == since.traffic.Accepted && l.traffic.Taken == since.traffic.Taken
}

// logLoad logs, until ctx ends, what the process has done and what that took.
func (p *Process) logLoad(ctx context.Context) error {
	log := operator.Part(p.config.Log, operator.RouterPart)
	last, err := p.load()
	if err != nil {
		log.WithError(err).Error("The load of this router is not logged.")
		return nil
	}
	for pause.For(ctx, loadSpan) {
		now, err := p.load()
		if err != nil {
			log.WithError(err).Error("The load of this router is logged no more.")
			return nil
		}
		if !now.isIdle(&last) {
			log.WithFields(now.fields(&last)).Info("The load of this router.")
		}
		last = now
	}
	return nil
}

// fields returns what has happened since an earlier time.
func (l *load) fields(since *load) logrus.Fields {
	return logrus.Fields{
		"span_ms":      l.at.Sub(since.at).Milliseconds(),
		"processor_ms": (l.processor - since.processor).Milliseconds(),
		"used":         math.Round(l.traffic.Used*100) / 100,
		"waited_ms":    l.traffic.Waited.Milliseconds(),
		"accepted":     l.traffic.Accepted - since.traffic.Accepted,
		"handed_over":  l.traffic.HandedOver - since.traffic.HandedOver,
		"taken":        l.traffic.Taken - since.traffic.Taken,
		"at_hand":      l.traffic.AtHand,
		"overloaded":   l.overloaded - since.overloaded,
		"ready":        l.ready - since.ready,
		"not_ready":    l.notReady - since.notReady,
		"dropped":      l.dropped - since.dropped,
	}
}
