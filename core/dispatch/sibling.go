package dispatch

import (
	"cmp"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/slot"
)

// maxMoves is how often a request may move to another cell; after that it waits where it is.
const maxMoves = 3

// returnLagCosts is how far below the virtual time the counter of a returning team may
// be, as a multiple of the largest request cost divided by the least share.
const returnLagCosts = 4

// siblingActiveWindow is how long a team counts as active after another cell of the pool reported service to it.
const siblingActiveWindow = 30 * time.Second

// SiblingService is the event that reports what other cells of the pool have served since their previous reports.
type SiblingService struct {
	Virtual  float64        // Virtual is the virtual time to which a cell without a backlog advances.
	Services []cell.Service // Services holds the additional cost served, by team.
}

// Move is the event that moves up to Count waiting requests to another cell of the pool.
type Move struct {
	To    cell.ID
	Count int
	Below float64 // Below is the virtual counter below which a team's requests may move; infinity includes every team.
}

// MoveTo is the action that tells an entry router that an attempt no longer waits here and must ask another cell.
type MoveTo struct {
	Router  cell.RouterID
	Session cell.Session
	Attempt cell.AttemptID
	Cell    cell.ID
}

func (*SiblingService) event() {}
func (*Move) event()           {}
func (*MoveTo) action()        {}

// chargeSiblingService charges teams for service by other cells, so that counters
// follow the service in the whole pool.
func (d *Dispatcher) chargeSiblingService(ev *SiblingService) {
	d.ledger.Advance(ev.Virtual)
	for _, service := range ev.Services {
		team := int(d.ensureTeam(service.Team))
		d.teams[team].siblingServiceAt = d.now
		d.ledger.Charge(team, service.Cost)
		d.ledger.Settle(team, service.Cost, service.Cost)
	}
}

// move removes waiting requests in rounds, one request per team in each round, in
// ascending order of the counters, so that teams with little service profit first from
// the capacity of the other cell.
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

// teamsBelow returns the backlogged teams whose counter is below the given one, in ascending order of the counters.
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

// moveOne moves the oldest waiting request of a team to another cell. It reports whether it did: a request that
// has moved maxMoves times stays.
func (d *Dispatcher) moveOne(team int32, to cell.ID) bool {
	slotIndex := d.waiting.FirstOf(team)
	if slotIndex == slot.None || d.waiting.At(slotIndex).Moves >= maxMoves {
		return false
	}
	request := d.waiting.Take(slotIndex)
	d.out.Move(d.entries.At(request.Entry), request.Attempt, to)
	return true
}

// countBacklogPeriods counts, after a step, the change from an empty to a non-empty backlog.
func (d *Dispatcher) countBacklogPeriods() {
	isBacklogged := d.waiting.Len() > 0
	if isBacklogged && !d.isBacklogged {
		d.backlogPeriods++
	}
	d.isBacklogged = isBacklogged
}

// Status returns the backlog, capacity and virtual time of the cell, for the other cells of the pool.
func (d *Dispatcher) Status() cell.Status {
	status := cell.Status{
		Virtual: d.ledger.Virtual(), Waiting: d.waiting.Len(), Slots: d.flights.Slots(), Granted: d.grantsSinceReport,
		Periods: d.backlogPeriods,
	}
	for _, state := range d.flights.States() {
		status.Free += state.Free
	}
	return status
}

// IsIdle reports whether no request waits and an endpoint has a free slot.
func (d *Dispatcher) IsIdle() bool { return d.waiting.Len() == 0 && d.flights.HasRoom() }

// Virtual returns the virtual time: the least virtual counter of the backlogged teams, in cost divided by share.
func (d *Dispatcher) Virtual() float64 { return d.ledger.Virtual() }

// ServiceReport appends to dst the total cost served to each team whose total has grown by at
// least the given cost since the last ServiceReport that included it. It also restarts the
// count of grants that Status returns.
func (d *Dispatcher) ServiceReport(dst []cell.Service, least cell.Cost) []cell.Service {
	d.grantsSinceReport = 0
	for i := range d.teams {
		team := &d.teams[i]
		if team.served > team.servedTold && team.served-team.servedTold >= least {
			team.servedTold = team.served
			dst = append(dst, cell.Service{Team: team.id, Cost: team.served})
		}
	}
	return dst
}
