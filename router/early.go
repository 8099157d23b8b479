package router

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/io/operator"
	"ryelug/router/request"
)

const (
	// maxEarlyLinesPerSecond limits the log lines for single early refusals, per second.
	maxEarlyLinesPerSecond = 50
	// earlySumInterval is the interval that one summary line covers. The summaries also count the refusals that got
	// no line of their own. The interval is whole seconds, as in the dispatcher's summaries.
	earlySumInterval = time.Second
)

// earlyRefusal is a request that this router refuses by itself, before it asks a dispatcher for a grant.
type earlyRefusal struct {
	request    *caller.Request
	route      *request.Route // route is the zero Route where none was found.
	code       result.Code
	generation uint64 // generation is that of the configuration in force; zero before the first one.
}

// earlyRefusalLog logs early refusals: a limited number as single lines, and all of them in summaries per team and
// result code.
type earlyRefusalLog struct {
	log         logrus.FieldLogger
	dataCentre  string
	lineLimiter *rate.Limiter // lineLimiter limits the lines for single refusals; the summaries are not limited.

	mu       sync.Mutex
	interval time.Time                // interval is the start of the interval that sums covers.
	sums     map[earlySumKey]earlySum // sums holds the current interval only.
}

// earlySumKey identifies a sum. It has no field that callers choose freely, so the configured teams limit the
// number of sums.
type earlySumKey struct {
	team cell.TeamID
	code result.Code
}

// earlySum sums up the refusals of one team and result code in one interval.
type earlySum struct {
	count             int       // count is the number of refused requests.
	cost, largestCost cell.Cost // cost is the total cost of the refused prompts; largestCost is that of the largest one.
}

func newEarlyRefusalLog(log logrus.FieldLogger, dataCentre string) *earlyRefusalLog {
	return &earlyRefusalLog{
		log: log, dataCentre: dataCentre, lineLimiter: rate.NewLimiter(maxEarlyLinesPerSecond, maxEarlyLinesPerSecond), sums: make(map[earlySumKey]earlySum),
	}
}

// record counts one refusal, and logs it as well if the limit of lines per second allows.
func (e *earlyRefusalLog) record(now time.Time, refusal *earlyRefusal) {
	e.count(now, refusal)
	if !e.lineLimiter.AllowN(now, 1) {
		return
	}
	info, _ := result.Lookup(refusal.code)
	e.log.WithFields(logrus.Fields{
		"request": refusal.request.ID, "team": refusal.route.Team, "class": refusal.route.Class, "code": info.Name, "not_run": true,
		"generation": refusal.generation, "host": refusal.request.Host, "decision": "refuse",
	}).Info("A request is refused before anything was asked for.")
}

// count adds a refusal to the sums of the current interval. The sums are logged by a timer at the end of the
// interval, or here if the next interval has begun before the timer ran.
func (e *earlyRefusalLog) count(now time.Time, refusal *earlyRefusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if interval := now.Truncate(earlySumInterval); !interval.Equal(e.interval) {
		e.flush()
		e.interval = interval
	}
	if len(e.sums) == 0 {
		interval := e.interval
		time.AfterFunc(interval.Add(earlySumInterval).Sub(now), func() { e.flushIfCurrent(interval) })
	}
	cost := refusal.request.Prompt.Cost()
	key := earlySumKey{refusal.route.Team, refusal.code}
	sum := e.sums[key]
	e.sums[key] = earlySum{sum.count + 1, sum.cost + cost, max(sum.largestCost, cost)}
}

// flushIfCurrent logs the sums of an interval, unless count has logged them already.
func (e *earlyRefusalLog) flushIfCurrent(interval time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if interval.Equal(e.interval) {
		e.flush()
	}
}

// flush logs the sums and resets them; the caller holds e.mu.
func (e *earlyRefusalLog) flush() {
	for key, sum := range e.sums {
		info, _ := result.Lookup(key.code)
		e.log.WithFields(logrus.Fields{
			"second": e.interval.Unix(), "team": key.team, "code": info.Name, "count": sum.count, "cost": int64(sum.cost),
			"largest": int64(sum.largestCost), "data_centre": e.dataCentre, "in_ms": earlySumInterval.Milliseconds(),
		}).Info(operator.EarlySumLine)
	}
	clear(e.sums)
}
