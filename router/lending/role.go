package lending

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"ryelug/core/backlog"
	"ryelug/core/cell"
	"ryelug/core/due"
	"ryelug/core/lend"
	"ryelug/core/result"
	"ryelug/io/wire"
	"ryelug/router/directory"
)

// Config sets up a Role.
type Config struct {
	Self       cell.RouterID
	Started    time.Time
	StakeLease time.Duration
	GrantValid time.Duration
	Early      bool                                         // Early joins dispatchers before the stake can be lent to them.
	Local      bool                                         // Local makes this router dispatch for itself, a baseline.
	Send       func(to cell.RouterID, message wire.Message) // Send must not block.
	Disconnect func(router cell.RouterID)                   // Disconnect closes the link to a dispatcher that does not answer.
	Standings  *due.Standings                               // Standings is told which teams are behind.
	Unserved   *due.Unserved                                // Unserved holds what callers asked for that no dispatcher was asked for.
}

// Role is a router's part as entry; one goroutine may use it.
type Role struct {
	config    Config
	cells     map[cell.ID]*state
	directory *directory.Directory
	linked    map[cell.RouterID]bool
	unused    []unused
	toldAt    time.Time // toldAt is when dispatchers were told last what was asked for here alone.
}

// unservedEvery is the time between two words on what callers asked for here alone, that in which shares are computed anew.
const unservedEvery = 250 * time.Millisecond

// state is one cell that requests of this router may wait for.
type state struct {
	id      cell.ID
	lender  *lend.Lender
	backlog *backlog.Guard
	asks    map[cell.AttemptID]Ask
	costs   *costTable
	counted counted
}

// take removes an ask that waits, and tells whether there was one.
func (s *state) take(now time.Time, attempt cell.AttemptID) (Ask, bool) {
	waiting, ok := s.asks[attempt]
	if !ok {
		return Ask{}, false
	}
	delete(s.asks, attempt)
	s.backlog.Leave(now, waiting.Demand.Team)
	return waiting, true
}

// unused is a grant that nobody waits for any more.
type unused struct {
	cell cell.ID
	end  cell.End
}

// New returns a Role without cells.
func New(config Config) *Role {
	config.Standings = cmp.Or(config.Standings, &due.Standings{})
	config.Unserved = cmp.Or(config.Unserved, &due.Unserved{})
	return &Role{config: config, cells: make(map[cell.ID]*state), linked: map[cell.RouterID]bool{config.Self: true}}
}

// Adopt puts a generation of the configuration in force.
func (r *Role) Adopt(now time.Time, next *directory.Directory) {
	r.directory = next
	for _, id := range next.Cells() {
		if r.cells[id] == nil {
			r.open(now, id)
		}
	}
	for id, at := range r.cells {
		at.backlog.SetLimit(next.Policy(id).QueueLimit)
	}
}

func (r *Role) open(now time.Time, id cell.ID) {
	at := &state{
		id: id,
		lender: lend.New(lend.Config{
			Self:       r.config.Self,
			Cell:       id,
			StakeLease: r.config.StakeLease,
			GrantValid: r.config.GrantValid,
			Started:    r.config.Started,
			Early:      r.config.Early,
			Local:      r.config.Local,
		}),
		backlog: backlog.New(),
		asks:    make(map[cell.AttemptID]Ask),
		costs:   newCostTable(),
	}
	r.cells[id] = at
	for router := range r.linked {
		r.step(now, at, &lend.LinkUp{Router: router})
	}
}

// LinkUp notes that a dispatcher can be reached.
func (r *Role) LinkUp(now time.Time, router cell.RouterID) {
	r.linked[router] = true
	r.stepAll(now, &lend.LinkUp{Router: router})
}

// LinkDown notes that a dispatcher can be reached no more.
func (r *Role) LinkDown(now time.Time, router cell.RouterID) {
	delete(r.linked, router)
	r.stepAll(now, &lend.LinkDown{Router: router})
}

// Heard notes a frame of a dispatcher, which had processed what this router sent at echoed.
func (r *Role) Heard(now time.Time, router cell.RouterID, echoed time.Time) {
	r.stepAll(now, &lend.Heard{Router: router, Echoed: echoed})
}

// Dispatchers adds the routers that dispatch a cell for this entry, or still count its attempts.
func (r *Role) Dispatchers(dst map[cell.RouterID]bool) {
	for _, at := range r.cells {
		at.lender.Dispatchers(dst)
	}
}

// MajorityLost notes that this router reaches half of the members at most: its
// dispatcher may have lost the stakes that its grants rested on.
func (r *Role) MajorityLost() {
	for _, at := range r.cells {
		at.counted.lapse()
	}
}

// PeerLeaving notes that a dispatcher leaves; it may be this router.
func (r *Role) PeerLeaving(now time.Time, router cell.RouterID) {
	r.stepAll(now, &lend.PeerLeaving{Router: router})
}

// Tick lets time pass. The order gives, for each cell, the hosts that should dispatch it, the first choice first.
func (r *Role) Tick(now time.Time, order func(cell.ID) []cell.HostID) {
	r.Reorder(now, order)
	r.Heard(now, r.config.Self, now)
	r.stepAll(now, &lend.Tick{})
	if now.Sub(r.toldAt) >= unservedEvery {
		r.toldAt = now
		r.tellUnserved()
	}
}

// tellUnserved tells the dispatchers what callers asked for that they were not asked for; without a dispatcher it waits.
func (r *Role) tellUnserved() {
	for id, at := range r.cells {
		router, session := at.lender.Present()
		if router == "" {
			continue
		}
		if teams := r.config.Unserved.Take(id); len(teams) > 0 {
			r.config.Send(router, &wire.Unserved{Cell: id, Session: session, Teams: teams})
		}
	}
}

// stand takes a dispatcher's word on which teams are behind.
func (r *Role) stand(now time.Time, from cell.RouterID, m *wire.Behind) {
	at, ok := r.cells[m.Cell]
	if !ok {
		return
	}
	if router, session := at.lender.Present(); router == from && session == m.Session {
		r.config.Standings.Set(now, m.Cell, m.Teams)
	}
}

// Reorder notes which hosts should dispatch each cell.
func (r *Role) Reorder(now time.Time, order func(cell.ID) []cell.HostID) {
	for id, at := range r.cells {
		r.step(now, at, &lend.Order{Hosts: order(id)})
	}
}

// HandBack hands back the grants that came and that nobody waits for, and tells whether there were any.
func (r *Role) HandBack(now time.Time) bool {
	waste := r.unused
	r.unused = nil
	for _, one := range waste {
		r.Finish(now, one.cell, one.end)
	}
	return len(waste) > 0
}

func (r *Role) stepAll(now time.Time, event lend.Event) {
	for _, at := range r.cells {
		r.step(now, at, event)
	}
}

// ReportProgress tells the dispatchers what running attempts have cost so far.
func (r *Role) ReportProgress(now time.Time) {
	for _, at := range r.cells {
		r.reportProgress(now, at)
	}
}

func (r *Role) reportProgress(now time.Time, at *state) {
	at.costs.changed(func(attempt cell.AttemptID, cost cell.Cost) {
		r.step(now, at, &lend.Progress{Progress: cell.Progress{Attempt: attempt, Cost: cost}})
	})
}

// Begun notes the first token of a granted attempt, so much after its send.
func (r *Role) Begun(now time.Time, id cell.ID, attempt cell.AttemptID, first time.Duration) {
	if at, ok := r.cells[id]; ok {
		r.step(now, at, &lend.Progress{Progress: cell.Progress{Attempt: attempt, FirstToken: max(first, time.Millisecond)}})
	}
}

// Ask notes a request that waits for a grant.
func (r *Role) Ask(now time.Time, request Ask) {
	at, ok := r.cells[request.Cell]
	if !ok {
		request.Refuse(result.NoCapacity)
		return
	}
	if retryAfter, admitted := at.backlog.Admit(now, request.Demand.Team); !admitted {
		r.config.Unserved.Add(request.Cell, request.Demand.Team, request.Demand.Estimate)
		request.refuse(result.TeamQueueFull, retryAfter)
		return
	}
	at.asks[request.Demand.Attempt] = request
	r.step(now, at, &lend.Want{Demand: request.Demand})
}

// Withdraw notes that an ask is given up: nobody reads its reply any more. A
// grant that has come all the same is handed back.
func (r *Role) Withdraw(now time.Time, request Ask) {
	at, ok := r.cells[request.Cell]
	if !ok {
		return
	}
	attempt := request.Demand.Attempt
	if _, waiting := at.take(now, attempt); waiting {
		r.step(now, at, &lend.Withdraw{Attempt: attempt})
		return
	}
	select {
	case decided := <-request.Reply:
		if decided.Refusal == nil {
			r.Finish(now, request.Cell, cell.End{Attempt: attempt, Outcome: cell.Unused})
		}
	default: // It was refused before it was asked for.
	}
}

// Finish notes that a granted attempt has ended.
func (r *Role) Finish(now time.Time, id cell.ID, end cell.End) {
	at, ok := r.cells[id]
	if !ok {
		return
	}
	at.costs.close(end.Attempt)
	r.step(now, at, &lend.End{End: end})
}

// Received delivers a dispatcher's message to the lender of its cell.
func (r *Role) Received(now time.Time, from cell.RouterID, message wire.Message, echoed time.Time) {
	switch m := message.(type) {
	case *wire.Accepted:
		r.lend(now, m.Cell, &lend.Accepted{Router: from, Session: m.Session})
	case *wire.Released:
		r.lend(now, m.Cell, &lend.Released{Router: from, Session: m.Session})
	case *wire.Grants:
		r.lend(now, m.Cell, &lend.Grants{Router: from, Session: m.Session, Echoed: echoed, Grants: m.Grants})
	case *wire.Refusals:
		r.lend(now, m.Cell, &lend.Refusals{Router: from, Session: m.Session, Refusals: m.Refusals})
	case *wire.Counters:
		r.lend(now, m.Cell, &lend.Counters{Router: from, Counters: m.Counters})
	case *wire.Behind:
		r.stand(now, from, m)
	}
}

// lend steps the lender of a cell, if this router knows the cell.
func (r *Role) lend(now time.Time, id cell.ID, event lend.Event) {
	if at, ok := r.cells[id]; ok {
		r.step(now, at, event)
	}
}

// step steps a lender and carries its actions out. The actions are valid
// until the next step, and messages outlive it, so their slices are copied.
func (r *Role) step(now time.Time, at *state, event lend.Event) {
	actions := at.lender.Step(now, event)
	at.counted.set(at.lender.Counted())
	for _, action := range actions {
		switch a := action.(type) {
		case *lend.Join:
			r.config.Send(a.Router, &wire.Join{
				Cell: at.id, Session: a.Session, Stake: a.Stake, Unlent: a.Unlent,
				Flights: slices.Clone(a.Flights), Counters: slices.Clone(a.Counters), Kept: a.Kept,
			})
		case *lend.Release:
			r.config.Send(a.Router, &wire.Release{Cell: at.id, Session: a.Session})
		case *lend.Disconnect:
			r.config.Disconnect(a.Router)
		case *lend.SendWant:
			r.config.Send(a.Router, &wire.Want{Cell: at.id, Session: a.Session, Demands: slices.Clone(a.Demands)})
		case *lend.SendWithdraw:
			r.config.Send(a.Router, &wire.Withdraw{Cell: at.id, Session: a.Session, Attempts: slices.Clone(a.Attempts)})
		case *lend.SendProgress:
			r.config.Send(a.Router, &wire.Progress{Cell: at.id, Session: a.Session, Progress: slices.Clone(a.Progress)})
		case *lend.SendEnds:
			r.config.Send(a.Router, &wire.Ends{Cell: at.id, Ends: slices.Clone(a.Ends)})
		case *lend.Granted:
			r.granted(now, at, a)
		case *lend.Refused:
			r.refused(now, at, a)
		}
	}
}

// granted answers the ask; a grant that nobody waits for any more is handed back.
func (r *Role) granted(now time.Time, at *state, a *lend.Granted) {
	waiting, ok := at.take(now, a.Attempt)
	if !ok {
		end := cell.End{Attempt: a.Attempt, Outcome: cell.Unused}
		r.unused = append(r.unused, unused{at.id, end})
		return
	}
	waiting.Reply <- Decision{
		Endpoint: a.Endpoint,
		Address:  r.directory.Address(a.Endpoint),
		Start:    a.Start,
		Fetch:    r.fetchAddress(a.Fetch),
		Expires:  a.Expires,
		Cost:     at.costs.open(a.Attempt),
		Hold:     at.counted.hold(r.config.GrantValid),

		Predicted: a.Predicted,
	}
}

// fetchAddress returns where an engine listens; the address is invalid for none, or one that is gone.
func (r *Role) fetchAddress(from cell.EndpointID) netip.AddrPort {
	if from == "" {
		return netip.AddrPort{}
	}
	return r.directory.Address(from)
}

func (r *Role) refused(now time.Time, at *state, a *lend.Refused) {
	waiting, ok := at.take(now, a.Attempt)
	if !ok {
		return
	}
	code := result.Code(a.Code)
	if code == result.TeamQueueFull {
		at.backlog.Full(now, waiting.Demand.Team, a.RetryAfter)
	}
	waiting.refuse(code, a.RetryAfter)
}

// RefuseAll gives up all that waits for a grant.
func (r *Role) RefuseAll(now time.Time, code result.Code) {
	for _, at := range r.cells {
		for attempt, waiting := range at.asks {
			at.take(now, attempt)
			r.step(now, at, &lend.Withdraw{Attempt: attempt})
			waiting.Refuse(code)
		}
	}
}
