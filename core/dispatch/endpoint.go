package dispatch

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/limit"
)

// endpoint is what the dispatcher knows of one endpoint.
type endpoint struct {
	id     cell.EndpointID
	open   bool
	gate   limit.Gate
	warm   bool
	former cell.StartID // former is the start before the present one.

	flights     list // flights are all that count, in the order of their grants.
	orphans     int
	orphanBound int // orphanBound is the most orphans that can still run.
	lingering   int

	sampled     time.Time // sampled is the earliest time that the last report can stem from.
	heard       time.Time // heard is when the last report of the present start came.
	reported    int       // reported is the last report's number in flight.
	recent      int       // recent counts flights that the last report may have missed.
	recentSince time.Time // recentSince is the time after which a grant is recent.
	proven      time.Time // proven is the time at which the endpoint ran nothing that an earlier holder of a stake granted.

	capMature  int // capMature is the cap of the stakes whose earlier holders have nothing in flight.
	capSampled int // capSampled is the cap of the stakes that the last report covers.
	capHeld    int // capHeld is the cap of all stakes held.
}

// setEndpoints takes in the endpoints of the policy; those that it lacks are closed.
func (d *Dispatcher) setEndpoints(policies []EndpointPolicy) {
	for i := range d.endpoints {
		d.endpoints[i].open = false
	}
	d.slots = 0
	for i := range policies {
		policy := &policies[i]
		index := d.endpointOf(policy.Endpoint)
		at := &d.endpoints[index]
		at.gate.SetLimits(policy.ColdLimit, policy.WarmLimit, d.policy.WarmUpRequests)
		at.open = !policy.Closed
		if at.open {
			d.slots += policy.WarmLimit
		}
	}
}

func (d *Dispatcher) endpointOf(id cell.EndpointID) int32 {
	if index, ok := d.endpointIndex[id]; ok {
		return index
	}
	index := int32(len(d.endpoints))
	d.endpoints = append(d.endpoints, endpoint{id: id})
	d.endpointIndex[id] = index
	d.room.Grow(len(d.endpoints))
	return index
}

func (d *Dispatcher) load(now time.Time, ev *Load) {
	index, ok := d.endpointIndex[ev.Endpoint]
	if !ok {
		return
	}
	at := &d.endpoints[index]
	if ev.Sampled.Before(at.sampled) {
		return
	}
	former, last := at.gate.Start(), at.sampled
	if former != "" && former != ev.Start && ev.Sampled.Before(at.heard) {
		// Either report may be the older one: no grants until that is certain.
		at.gate.Outdated(now)
		d.refreshCaps(now, index)
		return
	}
	at.heard = now
	report := limit.Report{Start: ev.Start, Cold: ev.Cold, Completed: ev.Completed, Sampled: ev.Sampled}
	if at.gate.Reported(now, report) && former != "" {
		at.former = former
		at.proven = later(at.proven, last)
	}
	at.sampled, at.reported = ev.Sampled, ev.InFlight
	if ev.InFlight == 0 {
		at.proven = later(at.proven, ev.Sampled)
	}
	d.voidFormer(at)
	d.countRecent(at)
	d.boundDoubtful(index)
	d.refreshCaps(now, index)
}

// voidFormer stops counting the flights of former starts.
func (d *Dispatcher) voidFormer(at *endpoint) {
	start := at.gate.Start()
	for slot := at.flights.head; slot != none; {
		next := d.byEndpoint.next[slot]
		flying := &d.flights[slot]
		isFormer := flying.start == at.former || !flying.granted.After(at.sampled)
		if flying.start != start && isFormer {
			d.makeVoid(slot)
		}
		slot = next
	}
}

func (d *Dispatcher) makeVoid(slot int32) {
	if d.flights[slot].kind == lingering {
		d.land(slot)
		return
	}
	d.uncount(slot)
	d.flights[slot].kind = void
}

// countRecent counts the flights that may have reached the endpoint after the report.
func (d *Dispatcher) countRecent(at *endpoint) {
	at.recentSince = at.sampled.Add(-d.window)
	at.recent = 0
	for slot := at.flights.tail; slot != none; slot = d.byEndpoint.prev[slot] {
		if d.flights[slot].granted.After(at.recentSince) {
			at.recent++
		}
	}
}

// boundDoubtful lowers the counts of orphans and lingering flights to what the report allows.
func (d *Dispatcher) boundDoubtful(index int32) {
	at := &d.endpoints[index]
	most := at.reported + at.recent
	at.orphanBound = min(at.orphanBound, most)
	for slot := at.flights.head; slot != none && at.lingering > most; {
		next := d.byEndpoint.next[slot]
		if d.flights[slot].kind == lingering {
			d.land(slot)
		}
		slot = next
	}
}

func (d *Dispatcher) unreachable(now time.Time, ev *Unreachable) {
	if index, ok := d.endpointIndex[ev.Endpoint]; ok {
		d.endpoints[index].gate.PollLost(now)
		d.refreshCaps(now, index)
	}
}

// refreshCaps works out the caps of an endpoint from the stakes and its limit.
func (d *Dispatcher) refreshCaps(now time.Time, index int32) {
	at := &d.endpoints[index]
	size := at.gate.Limit()
	at.warm = at.gate.State() == limit.Warm
	at.capHeld = d.capSince(now, now, size)
	if !at.warm {
		proven := at.proven
		if longest := d.policy.LongestRequest; longest > 0 {
			proven = later(proven, now.Add(-longest))
		}
		at.capMature = d.capSince(now, proven.Add(-d.window), size)
		at.capSampled = d.capSince(now, at.recentSince, size)
	}
	d.rank(index)
}

// capSince returns the cap of the stakes that joined at a time or before.
func (d *Dispatcher) capSince(now, joined time.Time, size int) int {
	held, total := d.stakes.HeldSince(now, joined)
	return limit.Cap(size, held, total)
}

// inFlight returns the flights that count towards the stake cap.
func (at *endpoint) inFlight() int {
	return at.flights.length - at.lingering - at.orphans + at.orphanBound
}

// free returns how many grants the endpoint may get now.
func (at *endpoint) free() int {
	if !at.open || !at.gate.Reachable() {
		return 0
	}
	if at.warm {
		return max(0, at.capHeld-at.inFlight())
	}
	counted := at.inFlight() + at.lingering
	mature := at.capMature - counted
	sampled := at.capSampled - max(counted, at.reported+at.recent)
	return max(0, mature, sampled)
}

// rank puts an endpoint in its place among those with room.
func (d *Dispatcher) rank(index int32) {
	at := &d.endpoints[index]
	free := at.free()
	if free == 0 {
		d.room.Remove(int(index))
		return
	}
	busy := float64(at.inFlight())
	d.room.Set(int(index), busy/(busy+float64(free)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
