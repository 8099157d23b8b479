package admission

import (
	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/dispatch"
	"ryelug/core/queue"
)

// Tallies appends one tally for each team with requests since the last call, resets the tallies, and returns dst.
func (d *Dispatcher) Tallies(dst []dispatch.TeamTally) []dispatch.TeamTally {
	for i := range d.teams {
		state := &d.teams[i]
		if state.tally == (dispatch.TeamTally{}) {
			continue
		}
		state.tally.Team, state.tally.ServiceFraction = state.id, d.dues.ServiceFraction(d.now, i)
		dst = append(dst, state.tally)
		state.tally = dispatch.TeamTally{}
	}
	return dst
}

// TakeSpills appends the first requests since the last call that went to another data centre to dst and returns the result.
func (d *Dispatcher) TakeSpills(dst []crossing.Spill) []crossing.Spill {
	return d.endpoints.Crossing().TakeSpills(dst)
}

// countDemand adds a demand to the team's tally.
func (d *Dispatcher) countDemand(team int32, demand *cell.Demand) {
	tally := &d.teams[team].tally
	tally.Asked++
	tally.AskedCost += demand.Estimate
	tally.Largest = max(tally.Largest, demand.Estimate)
	if d.isLong(demand.Class, demand.Estimate) {
		tally.LongAsked++
	}
}

// countGrant adds a granted request to its team's tally.
func (d *Dispatcher) countGrant(request *queue.Request) {
	tally := &d.teams[request.Team].tally
	tally.Granted++
	tally.GrantedCost += request.EstimatedCost
	tally.MostWaited = max(tally.MostWaited, d.now.Sub(request.Since))
	if !d.shares.WithinShare(d.now, int(request.Team)) {
		tally.Beyond++
	}
	if d.isLong(request.Class, request.EstimatedCost) {
		tally.LongGranted++
	}
}

// countRefusal adds a refused request to its team's tally: as refused at once if it arrived in this Step, as
// refused later otherwise.
func (d *Dispatcher) countRefusal(request *queue.Request) {
	tally := &d.teams[request.Team].tally
	if request.Since.Equal(d.now) {
		tally.RefusedOnArrival++
	} else {
		tally.RefusedAfterWait++
	}
	tally.MostWaited = max(tally.MostWaited, d.now.Sub(request.Since))
}

// isLong reports whether a request belongs to the most expensive tenth of its class.
func (d *Dispatcher) isLong(class string, cost cell.Cost) bool {
	classSizes, known := d.sizes[class]
	return known && classSizes.IsLong(cost)
}
