package admission

import (
	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/queue"
)

// Tallies appends what became of the requests of each team that asked for something since the last call.
func (d *Dispatcher) Tallies(dst []dispatch.TeamTally) []dispatch.TeamTally {
	for i := range d.teams {
		of := &d.teams[i]
		if of.tally == (dispatch.TeamTally{}) {
			continue
		}
		of.tally.Team, of.tally.Part = of.id, d.dues.Part(d.now, i)
		dst = append(dst, of.tally)
		of.tally = dispatch.TeamTally{}
	}
	return dst
}

func (d *Dispatcher) countDemand(team int32, demand *cell.Demand) {
	tally := &d.teams[team].tally
	tally.Asked++
	tally.AskedCost += demand.Estimate
	tally.Largest = max(tally.Largest, demand.Estimate)
	if d.isLong(demand.Class, demand.Estimate) {
		tally.LongAsked++
	}
}

func (d *Dispatcher) countGrant(request *queue.Request) {
	tally := &d.teams[request.Team].tally
	tally.Granted++
	tally.GrantedCost += request.Hint
	tally.MostWaited = max(tally.MostWaited, d.now.Sub(request.Since))
	if !d.shares.Within(d.now, int(request.Team)) {
		tally.Beyond++
	}
	if d.isLong(request.Class, request.Hint) {
		tally.LongGranted++
	}
}

func (d *Dispatcher) countRefusal(request *queue.Request) {
	tally := &d.teams[request.Team].tally
	if request.Since.Equal(d.now) {
		tally.AtOnce++
	} else {
		tally.Later++
	}
	tally.MostWaited = max(tally.MostWaited, d.now.Sub(request.Since))
}

// isLong tells whether a request belongs to the longest tenth of its kind.
func (d *Dispatcher) isLong(class string, cost cell.Cost) bool {
	of, known := d.sizes[class]
	return known && of.IsLong(cost)
}
