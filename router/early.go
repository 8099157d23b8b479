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
	// earlyLines is how many lines a second are logged on requests that are refused before anything was asked for.
	earlyLines = 50
	// earlySpan is the interval of the sums that take the place of the other lines, whole seconds as for the dispatcher's.
	earlySpan = time.Second
)

// earlyRefusal is a request that is refused before anything was asked for.
type earlyRefusal struct {
	request    *caller.Request
	route      *request.Route // route is empty where none was found.
	code       result.Code
	generation uint64
}

// earlyRefusals logs such requests: some by themselves, and all of them in sums by team and code.
type earlyRefusals struct {
	log        logrus.FieldLogger
	dataCentre string
	lines      *rate.Limiter

	mu     sync.Mutex
	second time.Time // second is what the sums are of.
	sums   map[earlyKey]earlySum
}

// earlyKey bounds the sums by the teams of the configuration.
type earlyKey struct {
	team cell.TeamID
	code result.Code
}

type earlySum struct {
	count         int
	cost, largest cell.Cost
}

func newEarlyRefusals(log logrus.FieldLogger, dataCentre string) *earlyRefusals {
	return &earlyRefusals{
		log: log, dataCentre: dataCentre, lines: rate.NewLimiter(earlyLines, earlyLines), sums: make(map[earlyKey]earlySum),
	}
}

// refused takes in one request.
func (e *earlyRefusals) refused(now time.Time, one *earlyRefusal) {
	e.count(now, one)
	if !e.lines.AllowN(now, 1) {
		return
	}
	info, _ := result.Lookup(one.code)
	e.log.WithFields(logrus.Fields{
		"request": one.request.ID, "team": one.route.Team, "class": one.route.Class, "code": info.Name, "not_run": true,
		"generation": one.generation, "host": one.request.Host, "decision": "refuse",
	}).Info("A request is refused before anything was asked for.")
}

// count adds to the sums of the second, which are logged once it is over.
func (e *earlyRefusals) count(now time.Time, one *earlyRefusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if second := now.Truncate(earlySpan); !second.Equal(e.second) {
		e.flush()
		e.second = second
	}
	if len(e.sums) == 0 {
		second := e.second
		time.AfterFunc(second.Add(earlySpan).Sub(now), func() { e.end(second) })
	}
	cost := one.request.Prompt.Cost()
	key := earlyKey{one.route.Team, one.code}
	sum := e.sums[key]
	e.sums[key] = earlySum{sum.count + 1, sum.cost + cost, max(sum.largest, cost)}
}

// end logs the sums of a second, unless that has been done.
func (e *earlyRefusals) end(second time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if second.Equal(e.second) {
		e.flush()
	}
}

// flush logs the sums and begins new ones; the caller holds the lock.
func (e *earlyRefusals) flush() {
	for key, sum := range e.sums {
		info, _ := result.Lookup(key.code)
		e.log.WithFields(logrus.Fields{
			"second": e.second.Unix(), "team": key.team, "code": info.Name, "count": sum.count, "cost": int64(sum.cost),
			"largest": int64(sum.largest), "data_centre": e.dataCentre, "in_ms": earlySpan.Milliseconds(),
		}).Info(operator.EarlySumLine)
	}
	clear(e.sums)
}
