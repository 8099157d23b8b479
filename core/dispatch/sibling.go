package dispatch

import (
	"cmp"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/slot"
)

// maxMoves bounds how often a request is passed on; after that it waits where it is.
const maxMoves = 3

// keptCosts is the number of largest costs, divided by the least share, that a
// returning team may be behind.
const keptCosts = 4

// siblingSpan is how long a team counts as active after another cell told of it.
const siblingSpan = 30 * time.Second

// Siblings tells what other cells of the pool have served since they told it last.
type Siblings struct {
	Virtual  float64 // Virtual is the virtual time that a cell without a backlog advances to.
	Services []cell.Service
}

// Move passes waiting requests on to another cell of the pool.
type Move struct {
	To    cell.ID
	Count int
	Below float64 // Below is the counter that a team must be below; infinite for any.
}

// MoveTo tells an entry that an attempt no longer waits here and is to ask another cell.
type MoveTo struct {
	Router  cell.RouterID
	Session cell.Session
	Attempt cell.AttemptID
	Cell    cell.ID
}

func (*Siblings) event() {}
func (*Move) event()     {}
func (*MoveTo) action()  {}

// hearSiblings charges teams what they were served elsewhere, so that the least
// counter is the one of the least service in the whole pool.
func (d *Dispatcher) hearSiblings(ev *Siblings) {
	d.ledger.Advance(ev.Virtual)
	for _, service := range ev.Services {
		of := int(d.teamOf(service.Team))
		d.teams[of].heard = d.now
		d.ledger.Charge(of, service.Cost)
		d.ledger.Settle(of, service.Cost, service.Cost)
	}
}

// move takes out requests in rounds, in each one of every team in the order of the
// counters, so that the capacity of the other cell goes where it is due.
func (d *Dispatcher) move(ev *Move) {
	teams := d.teamsBelow(ev.Below)
	left := ev.Count
	for moved := true; moved && left > 0; {
		moved = false
		for i := 0; i < len(teams) && left > 0; i++ {
			if d.moveOne(teams[i], ev.To) {
				moved = true
				left--
			}
		}
	}
}

// teamsBelow returns the backlogged teams with a lower counter, the least one first.
func (d *Dispatcher) teamsBelow(counter float64) []int32 {
	var teams []int32
	for i := range d.teams {
		if d.waiting.LenOf(int32(i)) > 0 && d.ledger.Counter(i) < counter {
			teams = append(teams, int32(i))
		}
	}
	slices.SortFunc(teams, func(a, b int32) int {
		return cmp.Or(cmp.Compare(d.ledger.Counter(int(a)), d.ledger.Counter(int(b))), cmp.Compare(a, b))
	})
	return teams
}

// moveOne passes on the request of a team that waits longest, if it may move again.
func (d *Dispatcher) moveOne(of int32, to cell.ID) bool {
	place := d.waiting.FirstOf(of)
	if place == slot.None || d.waiting.At(place).Moves >= maxMoves {
		return false
	}
	request := d.waiting.Take(place)
	d.out.Move(d.entries.At(request.Entry), request.Attempt, to)
	return true
}

// countPeriods takes in whether requests wait after a step.
func (d *Dispatcher) countPeriods() {
	isBusy := d.waiting.Len() > 0
	if isBusy && !d.isBusy {
		d.periods++
	}
	d.isBusy = isBusy
}

// Standing returns how the cell stands, for the other cells of the pool.
func (d *Dispatcher) Standing() cell.Standing {
	standing := cell.Standing{
		Virtual: d.ledger.Virtual(), Waiting: d.waiting.Len(), Slots: d.flights.Slots(), Granted: d.granted,
		Periods: d.periods,
	}
	for _, at := range d.flights.States() {
		standing.Free += at.Free
	}
	return standing
}

// IsIdle tells whether no request waits and a slot is free.
func (d *Dispatcher) IsIdle() bool { return d.waiting.Len() == 0 && d.flights.HasRoom() }

// Virtual returns the least counter of the backlogged teams.
func (d *Dispatcher) Virtual() float64 { return d.ledger.Virtual() }

// Tell appends the services of the teams that were served so much more, at least,
// than the other cells were told, and counts them as told.
func (d *Dispatcher) Tell(dst []cell.Service, least cell.Cost) []cell.Service {
	d.granted = 0
	for i := range d.teams {
		of := &d.teams[i]
		if of.served > of.told && of.served-of.told >= least {
			of.told = of.served
			dst = append(dst, cell.Service{Team: of.id, Cost: of.served})
		}
	}
	return dst
}
