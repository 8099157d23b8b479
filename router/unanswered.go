package router

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"ryelug/io/caller"
)

// maxUnansweredLinesPerSecond limits the log lines for connections that ended without an answer, per second.
const maxUnansweredLinesPerSecond = 50

// unansweredLog counts the connections that ended without an answer by cause, and logs those that their callers did not
// close, a limited number per second.
type unansweredLog struct {
	log         logrus.FieldLogger
	lineLimiter *rate.Limiter
	counts      []atomic.Int64 // counts is indexed by caller.Cause.
}

func newUnansweredLog(log logrus.FieldLogger) *unansweredLog {
	return &unansweredLog{
		log: log, lineLimiter: rate.NewLimiter(maxUnansweredLinesPerSecond, maxUnansweredLinesPerSecond),
		counts: make([]atomic.Int64, len(caller.Causes())),
	}
}

// record implements caller.Config.Unanswered.
func (u *unansweredLog) record(end caller.Unanswered) {
	u.counts[end.Cause].Add(1)
	if end.Cause == caller.CallerClosed || !u.lineLimiter.AllowN(time.Now(), 1) {
		return
	}
	line := u.log.WithFields(logrus.Fields{
		"request": end.Request, "caller": end.Caller.String(), "cause": end.Cause.String(), "received": end.Received, "unread": end.Unread,
		"age_ms": end.Age.Milliseconds(), "decision": "close",
	})
	if end.Err != nil {
		line = line.WithError(end.Err)
	}
	line.Warn("A connection ended without an answer.")
}

// Unanswered returns how many connections ended without an answer since the start, by the name of the cause.
func (r *Router) Unanswered() map[string]int64 {
	counts := make(map[string]int64)
	for _, cause := range caller.Causes() {
		counts[cause.String()] = r.unanswered.counts[cause].Load()
	}
	return counts
}
