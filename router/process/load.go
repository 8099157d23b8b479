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

// loadInterval is the time between two log lines on the load of a router; the balancer checks its health as often.
const loadInterval = time.Second

// load is a sample of the load of a process; unless noted, its figures are totals since the start.
type load struct {
	at         time.Time
	processor  time.Duration  // processor is the processor time used.
	traffic    router.Traffic // traffic holds totals of connections, and the present requests, delay and utilisation.
	overloaded int64          // overloaded counts the requests refused with the result code Overloaded.
	ready      int64          // ready counts the health checks that were answered with ready.
	notReady   int64          // notReady counts the health checks that were answered with not ready.
	dropped    int64          // dropped counts the log lines that were dropped.
}

// load takes a sample; it returns an error if the processor time can't be read.
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

// isIdle reports whether no request is in progress and no connection has arrived since an earlier sample.
func (l *load) isIdle(since *load) bool {
	return l.traffic.InFlight == 0 && l.traffic.Accepted == since.traffic.Accepted && l.traffic.Taken == since.traffic.Taken
}

// logLoad logs the load of the process every loadInterval until ctx ends, except while it is idle. It stops early,
// without an error, if the load can't be read.
func (p *Process) logLoad(ctx context.Context) error {
	log := operator.Part(p.config.Log, operator.RouterPart)
	last, err := p.load()
	if err != nil {
		log.WithError(err).Error("The load of this router can't be read and is not logged.")
		return nil
	}
	for pause.For(ctx, loadInterval) {
		now, err := p.load()
		if err != nil {
			log.WithError(err).Error("The load of this router can't be read and is no longer logged.")
			return nil
		}
		if !now.isIdle(&last) {
			log.WithFields(now.fields(&last)).Info("The load of this router.")
		}
		last = now
	}
	return nil
}

// fields returns the fields of a log line: changes since an earlier sample, and the present utilisation, delay and
// requests in progress.
func (l *load) fields(since *load) logrus.Fields {
	return logrus.Fields{
		"span_ms":      l.at.Sub(since.at).Milliseconds(),
		"processor_ms": (l.processor - since.processor).Milliseconds(),
		"used":         math.Round(l.traffic.Used*100) / 100,
		"waited_ms":    l.traffic.LastDelay.Milliseconds(),
		"accepted":     l.traffic.Accepted - since.traffic.Accepted,
		"handed_over":  l.traffic.HandedOver - since.traffic.HandedOver,
		"taken":        l.traffic.Taken - since.traffic.Taken,
		"at_hand":      l.traffic.InFlight,
		"overloaded":   l.overloaded - since.overloaded,
		"ready":        l.ready - since.ready,
		"not_ready":    l.notReady - since.notReady,
		"dropped":      l.dropped - since.dropped,
	}
}
