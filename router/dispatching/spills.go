package dispatching

import (
	"math"

	"github.com/sirupsen/logrus"

	"ryelug/core/crossing"
)

// spillLogRate is the most log lines on requests for other data centres in a second, and the largest burst of them. The counters
// of the cell count all of them.
const spillLogRate = 20

// spillReporter is implemented by dispatchers that decide on requests for other data centres.
type spillReporter interface {
	TakeSpills(dst []crossing.Spill) []crossing.Spill
}

// logSpills logs requests of a cell that went to another data centre, with the inputs of the decision, at most spillLogRate times a second.
func (r *Role) logSpills(cs *cellState) {
	reporter, ok := cs.dispatcher.(spillReporter)
	if !ok {
		return
	}
	r.spills = reporter.TakeSpills(r.spills[:0])
	for i := range r.spills {
		if !r.spillLogLimiter.Allow() {
			return
		}
		spill := &r.spills[i]
		r.config.Log.WithFields(logrus.Fields{
			"cell": cs.id, "from": spill.From, "to": spill.To, "cause": spill.Cause.String(), "share": math.Round(spill.Share*1000) / 1000,
			"own_ms": spill.InOwn.Milliseconds(), "other_ms": spill.InOther.Milliseconds(), "left_ms": spill.Left.Milliseconds(),
			"waited_ms": spill.Waited.Milliseconds(), "bytes": spill.Bytes, "own_pressure": math.Round(spill.OwnPressure*100) / 100,
			"other_pressure": math.Round(spill.OtherPressure*100) / 100, "delay_ms": spill.Delay.Milliseconds(), "delay_age_ms": spill.DelayAge.Milliseconds(),
		}).Info("A request is sent to another data centre.")
	}
}
