package placing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/limit"
	"ryelug/core/placing"
)

const callTime = 30 * time.Millisecond

// newService returns a table of endpoints of this many slots whose calls take callTime, and that report these paces if any.
func newService(now time.Time, slots int, paces ...uint16) *placing.Table {
	t := placing.New(&limit.Stakes{})
	policy := &dispatch.Policy{}
	for n := range paces {
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{Endpoint: cell.EndpointID(fmt.Sprint(n)), WarmLimit: slots, Start: "s"})
	}
	t.SetPolicy(policy)
	var placed []placing.Placement
	for range slots * len(paces) {
		one, _ := t.Grant(now, t.Choose(now, call(now, time.Second)), &cell.Prompt{})
		placed = append(placed, one)
	}
	for i := range placed {
		report(t, now, &placed[i], paces)
		pace := time.Duration(max(100, paces[placed[i].EndpointIndex]))
		t.Took(now.Add(callTime*pace/100), &placed[i], callTime*pace/100)
		t.Ended(now.Add(callTime*pace/100), &placed[i], cell.Completed)
	}
	return t
}

func report(t *placing.Table, now time.Time, placed *placing.Placement, paces []uint16) {
	t.Report(now, placed, cell.EndpointLoad{Slots: 1, Pace: paces[placed.EndpointIndex]})
}

// call returns a plain call with this time left.
func call(now time.Time, left time.Duration) *placing.Request {
	return &placing.Request{Prompt: &cell.Prompt{}, Since: now, Deadline: now.Add(left), Objective: left, Avoid: -1, WithinShare: true}
}

// A call that waits at an endpoint while another one has a free slot is answered later than it could be; where both have one, the
// faster one takes it.
func TestCallsTakeFreeSlotsFirst(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	service := newService(now, 2, 100, 200)
	now = now.Add(2 * callTime)
	var order []int32
	for range 4 {
		placed, _ := service.Grant(now, service.Choose(now, call(now, 150*time.Millisecond)), &cell.Prompt{})
		order = append(order, placed.EndpointIndex)
	}
	is.Equal(order[0], int32(0))
	free := map[int32]int{}
	for _, index := range order {
		free[index]++
	}
	is.Equal(free, map[int32]int{0: 2, 1: 2})
}

// A call must not go to a free slot in which it would be late, but wait for another one; and is refused once no slot is in time.
func TestCallsWaitForASlotInWhichTheyAreInTime(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	service := newService(now, 1, 100, 500)
	now = now.Add(5 * callTime)
	for {
		choice := service.Choose(now, call(now, 150*time.Millisecond))
		if choice.Verdict != placing.Admitted {
			is.Equal(choice.Verdict, placing.Waits)
			break
		}
		placed, _ := service.Grant(now, choice, &cell.Prompt{})
		is.Equal(placed.EndpointIndex, int32(0))
	}
	waited := call(now.Add(-120*time.Millisecond), 150*time.Millisecond)
	is.Equal(service.Choose(now, waited).Verdict, placing.Hopeless)
	waited.Since = now // A call that reached the dispatcher only now is refused as well.
	is.Equal(service.Choose(now, waited).Verdict, placing.Hopeless)
}

// Cells whose endpoints report no pace must keep the behaviour that they have.
func TestNothingIsPacedWithoutAReport(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	service := newService(now, 2, 0, 0)
	is.True(!service.HasPacedCalls())
	is.Equal(service.CallRate(now), 0.0)
	is.True(newService(now, 2, 0, 100).HasPacedCalls())
}

// Engines that are permanently slow get long outputs last, while short ones go by the first token.
func TestLongOutputsGoToSlowEnginesLast(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := placing.New(&limit.Stakes{})
	table.SetPolicy(newPolicy(2))
	slow := table.Adopt(0, 10)
	table.Report(now, &slow, cell.EndpointLoad{Slots: 32, Pace: 180})
	table.Ended(now, &slow, cell.Completed)
	for range 4 {
		placed := table.Adopt(1, 10)
		_ = placed
	}
	prompt := cell.Prompt{Parts: []cell.Part{{ID: 1, Tokens: 10}}, Output: 2000}
	long := placing.Request{Prompt: &prompt, Since: now, Deadline: now.Add(time.Second), Avoid: -1, WithinShare: true}
	placed, _ := table.Grant(now, table.Choose(now, &long), &prompt)
	is.Equal(placed.EndpointIndex, int32(1))
	prompt.Output = 1
	placed, _ = table.Grant(now, table.Choose(now, &long), &prompt)
	is.Equal(placed.EndpointIndex, int32(0))
}

func BenchmarkChoosePaced(b *testing.B) {
	now := time.Now()
	paces := make([]uint16, 140)
	for i := range paces {
		paces[i] = 100
	}
	service := newService(now, 6, paces...)
	now = now.Add(2 * callTime)
	request := call(now, 150*time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		service.Choose(now, request)
	}
}

// Guards against calls that wait for an endpoint that is down while the others, on which any call takes longer than its objective,
// are idle: no call would be answered.
func TestFailingEndpointSetsNoExpectation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	service := newService(now, 4, 100, 600)
	now = now.Add(7 * callTime)
	for range 8 {
		placed := service.Adopt(0, 1)
		service.Ended(now, &placed, cell.Unreached)
	}
	service.Report(now, &placing.Placement{EndpointIndex: 1, Start: "s"}, cell.EndpointLoad{Slots: 4, Pace: 600})
	now = now.Add(time.Millisecond)
	choice := service.Choose(now, call(now, 150*time.Millisecond))
	is.Equal(choice.Verdict, placing.Admitted)
	placed, _ := service.Grant(now, choice, &cell.Prompt{})
	is.Equal(placed.EndpointIndex, int32(1))
}

// Guards against an endpoint that stops reporting after a slow report and gets only single calls from then on, though it answers them.
func TestEndpointThatStopsReportingGetsItsSlots(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	service := newService(now, 6, 250)
	granted := func() []placing.Placement {
		var placed []placing.Placement
		for range 6 {
			if choice := service.Choose(now, call(now, 150*time.Millisecond)); choice.Verdict == placing.Admitted {
				one, _ := service.Grant(now, choice, &cell.Prompt{})
				placed = append(placed, one)
			}
		}
		return placed
	}
	now = now.Add(time.Second)
	placed := granted()
	is.Equal(len(placed), 2) // They show whether the endpoint is still slow.
	now = now.Add(callTime)
	for i := range placed {
		service.Took(now, &placed[i], 0) // An end without a report has no time either.
		service.Ended(now, &placed[i], cell.Completed)
	}
	is.Equal(len(granted()), 6)
}

// Guards against an endpoint without reports, beside others with them, that counts as one that answers at once and adds nothing to the
// rate: calls with too little time would go there, and others be refused for want of a capacity that exists.
func TestEndpointWithoutReportsIsMeasuredBesideOthers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	service := placing.New(&limit.Stakes{})
	service.SetPolicy(&dispatch.Policy{Endpoints: []dispatch.EndpointPolicy{
		{Endpoint: "0", WarmLimit: 2, Start: "s"}, {Endpoint: "1", WarmLimit: 2, Start: "s"},
	}})
	var placed []placing.Placement
	for range 4 {
		one, _ := service.Grant(now, service.Choose(now, call(now, time.Second)), &cell.Prompt{})
		placed = append(placed, one)
	}
	now = now.Add(callTime)
	for i := range placed {
		took := time.Duration(0) // Entries measure only calls whose answers have the figures.
		if placed[i].EndpointIndex == 0 {
			report(service, now, &placed[i], []uint16{100})
			took = callTime
		}
		service.Took(now, &placed[i], took)
		service.Ended(now, &placed[i], cell.Completed)
	}
	is.Equal(int(service.CallRate(now)), 133) // four slots, 30 ms
	late := call(now, 20*time.Millisecond)
	late.Objective = 150 * time.Millisecond
	is.Equal(service.Choose(now, late).Verdict, placing.Hopeless)
}

// A new endpoint must not get calls that have too little time left, as if calls took no time there.
func TestNewEndpointStartsFromTheTimesOfTheOthers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	service := newService(now, 1, 100, 100)
	policy := dispatch.Policy{Endpoints: []dispatch.EndpointPolicy{{Endpoint: "new", WarmLimit: 1, Start: "s"}}}
	service.SetPolicy(&policy)
	now = now.Add(2 * callTime)
	late := call(now, 20*time.Millisecond)
	late.Objective = 150 * time.Millisecond
	is.Equal(service.Choose(now, late).Verdict, placing.Hopeless)
	is.Equal(service.Choose(now, call(now, 150*time.Millisecond)).Verdict, placing.Admitted)
}
