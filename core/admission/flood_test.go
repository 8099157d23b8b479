package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/engine"
)

const (
	floodTick    = 10 * time.Millisecond
	floodSpan    = 3 * time.Second
	floodEngines = 90
)

// simulateFlood submits rate demands per second for floodSpan, at engines that can take about a fifth of the test's flood. It
// returns the number of endpoints that the dispatcher considered and the number of grants.
func simulateFlood(rate int) (weighed int64, grants int) {
	var names []cell.EndpointID
	for i := range floodEngines {
		names = append(names, cell.EndpointID(fmt.Sprintf("e%d", i)))
	}
	policy := engines(names...)
	policy.Engine = &engine.Profile{Slots: 32}
	policy.Gap, policy.FairRate = 300*time.Millisecond, 2_700_000
	for i := range policy.Endpoints {
		policy.Endpoints[i].WarmLimit = 32
	}
	d := newSimulation(policy)
	d.tick = floodTick
	before, asked := d.Snapshot().EndpointsEvaluated, 0
	for since := time.Duration(0); since < floodSpan; since += floodTick {
		d.pass(floodTick)
		for due := int(float64(rate) * since.Seconds()); asked < due; asked++ {
			serial := uint64(asked)
			team := cell.TeamID(fmt.Sprintf("team-%d", min(serial%10, serial%3)))
			d.class = "summary"
			parts, within := []cell.Part{{ID: 1, Tokens: 100}, {ID: 100 + serial%500, Tokens: 100}, {ID: 10_000 + serial, Tokens: 600}}, 400*time.Millisecond
			if asked%2 == 0 {
				d.class = "draft"
				parts, within = []cell.Part{{ID: 2, Tokens: 500}, {ID: 1000 + serial%500, Tokens: 4900}, {ID: 10_000 + serial, Tokens: 6600}}, 600*time.Millisecond
			}
			d.ask(team, cell.Prompt{Parts: parts, Output: 300}, within)
		}
	}
	return d.Snapshot().EndpointsEvaluated - before, len(d.grants)
}

// Guards against a dispatcher that spends so much time on the backlog of an overload that it grants less than without one.
func TestFloodCostsTheDispatcherNoMoreThanItsDemands(t *testing.T) {
	const calm, flood = 1500, 9000
	is := is.New(t)
	calmWeighed, calmGrants := simulateFlood(calm)
	floodWeighed, floodGrants := simulateFlood(flood)
	t.Logf("calm: %d weighed, %d grants; flood: %d weighed, %d grants", calmWeighed, calmGrants, floodWeighed, floodGrants)
	is.True(floodWeighed/flood <= calmWeighed/calm*2) // The cost per demand does not grow with the backlog.
	is.True(floodGrants >= calmGrants)
}
