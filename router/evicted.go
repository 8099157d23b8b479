package router

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"ryelug/core/holding"
	"ryelug/io/caller"
)

// maxEvictedLinesPerSecond limits the log lines for requests and responses that are ended for their memory, per second.
const maxEvictedLinesPerSecond = 20

// evictedLog counts and logs the requests and responses that are ended because of the memory that they take, or because
// their bodies arrive too slowly.
type evictedLog struct {
	log         logrus.FieldLogger
	lineLimiter *rate.Limiter
	counts      map[holding.Cause]*atomic.Int64 // counts is not modified after newEvictedLog.
}

func newEvictedLog(log logrus.FieldLogger) *evictedLog {
	counts := make(map[holding.Cause]*atomic.Int64)
	for _, cause := range holding.Causes() {
		counts[cause] = &atomic.Int64{}
	}
	return &evictedLog{log: log, lineLimiter: rate.NewLimiter(maxEvictedLinesPerSecond, maxEvictedLinesPerSecond), counts: counts}
}

// record implements caller.Config.Evicted.
func (e *evictedLog) record(end caller.Eviction) {
	e.counts[end.Cause].Add(1)
	if !e.lineLimiter.AllowN(time.Now(), 1) {
		return
	}
	e.log.WithFields(logrus.Fields{
		"kind": end.Kind.String(), "cause": end.Cause.String(), "caller": end.Caller.String(), "received": end.Bytes, "decision": "evict",
	}).Warn("A request or response is ended for the memory that it takes.")
}

// Evicted returns how many requests and responses were ended for the memory that they take since the start, by cause.
func (r *Router) Evicted() map[string]int64 {
	counts := make(map[string]int64)
	for cause, count := range r.evicted.counts {
		counts[cause.String()] = count.Load()
	}
	return counts
}
