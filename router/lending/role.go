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
	"ryelug/core/suspect"
	"ryelug/io/wire"
	"ryelug/router/directory"
)

// Config holds the settings of a Role and the functions that it calls.
type Config struct {
	Self             cell.RouterID
	Started          time.Time                                    // Started is when this process started; the first loan of its stake (its vote) to a dispatcher is possible when StakeLease plus GrantValid has passed since then.
	StakeLease       time.Duration                                // StakeLease is how long a dispatcher counts this router's stake (its vote), from the time at which the dispatcher sent the newest frame that this router has acknowledged.
	GrantValid       time.Duration                                // GrantValid is how long a grant may be used, and how long one confirmation of an attempt holds.
	JoinWithoutStake bool                                         // JoinWithoutStake opens a session with a dispatcher at once, even while another one may still count this router's stake.
	SelfDispatch     bool                                         // SelfDispatch makes this router its own dispatcher for all cells; only benchmarks set it, to compare against uncoordinated routers.
	Send             func(to cell.RouterID, message wire.Message) // Send queues a message to a router and must not block.
	Disconnect       func(router cell.RouterID)                   // Disconnect closes the link to a dispatcher that does not answer.
	Standings        *due.Standings                               // Standings receives which teams get less than their share; nil discards it.
	Unserved         *due.Unserved                                // Unserved sums the requests that this entry refused without asking a dispatcher; nil makes Role use its own.
}

// Role implements this router's entry role for all cells: it asks dispatchers for grants
// on behalf of the callers' requests that this router accepted. It is not safe for concurrent use.
type Role struct {
	config             Config
	cells              map[cell.ID]*cellState
	directory          *directory.Directory
	linked             map[cell.RouterID]bool
	unused             []unused
	unservedReportedAt time.Time // unservedReportedAt is when the unserved requests were last reported to dispatchers.
}

// unservedInterval is the least time between two reports of unserved requests. Dispatchers
// recompute at the same interval which teams get less than their share.
const unservedInterval = 250 * time.Millisecond

// cellState is this router's state for one cell (a pool of endpoints, or a slice of one).
type cellState struct {
	id            cell.ID
	lender        *lend.Lender
	backlog       *backlog.Guard
	asks          map[cell.AttemptID]Ask // asks holds the asks that wait for a decision.
	costs         *costTable
	sessionStatus sessionStatus
	rejections    suspect.Rejections // rejections holds the prompt parts that a dispatcher found to crash engines.
}

// removeAsk removes the waiting ask of an attempt and returns it, and false if none waits.
func (s *cellState) removeAsk(now time.Time, attempt cell.AttemptID) (Ask, bool) {
	ask, ok := s.asks[attempt]
	if !ok {
		return Ask{}, false
	}
	delete(s.asks, attempt)
	s.backlog.Leave(now, ask.Demand.Team)
	return ask, true
}

// unused is a grant that arrived when its ask no longer waited; HandBack returns it to the dispatcher.
type unused struct {
	cell cell.ID
	end  cell.End
}

// New returns a Role without cells.
func New(config Config) *Role {
	config.Standings = cmp.Or(config.Standings, &due.Standings{})
	config.Unserved = cmp.Or(config.Unserved, &due.Unserved{})
	return &Role{config: config, cells: make(map[cell.ID]*cellState), linked: map[cell.RouterID]bool{config.Self: true}}
}

// Adopt applies a new generation of the configuration. Cells that are new in it are
// added; cells that it lacks are kept.
func (r *Role) Adopt(now time.Time, dir *directory.Directory) {
	r.directory = dir
	for _, id := range dir.Cells() {
		if r.cells[id] == nil {
			r.addCell(now, id)
		}
	}
	for id, cs := range r.cells {
		cs.backlog.SetLimit(dir.Policy(id).QueueLimit)
	}
}

func (r *Role) addCell(now time.Time, id cell.ID) {
	cs := &cellState{
		id: id,
		lender: lend.New(lend.Config{
			Self:             r.config.Self,
			Cell:             id,
			StakeLease:       r.config.StakeLease,
			GrantValid:       r.config.GrantValid,
			Started:          r.config.Started,
			JoinWithoutStake: r.config.JoinWithoutStake,
			SelfDispatch:     r.config.SelfDispatch,
		}),
		backlog: backlog.New(),
		asks:    make(map[cell.AttemptID]Ask),
		costs:   newCostTable(),
	}
	r.cells[id] = cs
	for router := range r.linked {
		r.step(now, cs, &lend.LinkUp{Router: router})
	}
}

// LinkUp records that a link to a possible dispatcher is up.
func (r *Role) LinkUp(now time.Time, router cell.RouterID) {
	r.linked[router] = true
	r.stepAll(now, &lend.LinkUp{Router: router})
}

// LinkDown records that the link to a possible dispatcher is down.
func (r *Role) LinkDown(now time.Time, router cell.RouterID) {
	delete(r.linked, router)
	r.stepAll(now, &lend.LinkDown{Router: router})
}

// FrameReceived records that a frame arrived from a dispatcher, and that the dispatcher has
// processed everything that this router had sent up to echoed, on this router's clock.
func (r *Role) FrameReceived(now time.Time, router cell.RouterID, echoed time.Time) {
	r.stepAll(now, &lend.FrameReceived{Router: router, Echoed: echoed})
}

// Dispatchers adds to dst the routers that dispatch a cell for this entry, or that may still count its stake or its attempts.
func (r *Role) Dispatchers(dst map[cell.RouterID]bool) {
	for _, cs := range r.cells {
		cs.lender.Dispatchers(dst)
	}
}

// MajorityLost records that this router no longer reaches more than half of the members.
// The running attempts of all cells lapse, since their dispatchers may have lost the stakes
// that the grants were based on.
func (r *Role) MajorityLost() {
	for _, cs := range r.cells {
		cs.sessionStatus.startEpoch()
	}
}

// PeerLeaving records that a router, which may be this one, shuts down and takes no new sessions.
func (r *Role) PeerLeaving(now time.Time, router cell.RouterID) {
	r.stepAll(now, &lend.PeerLeaving{Router: router})
}

// Tick advances the time-driven work of all cells; it must be called at least every 50 ms.
// The function order returns the hosts that should dispatch a cell, in order of preference.
func (r *Role) Tick(now time.Time, order func(cell.ID) []cell.HostID) {
	r.Reorder(now, order)
	r.FrameReceived(now, r.config.Self, now)
	r.stepAll(now, &lend.Tick{})
	if now.Sub(r.unservedReportedAt) >= unservedInterval {
		r.unservedReportedAt = now
		r.reportUnserved()
	}
}

// Reorder updates the hosts that should dispatch each cell; the function order returns them in order of preference.
func (r *Role) Reorder(now time.Time, order func(cell.ID) []cell.HostID) {
	for id, cs := range r.cells {
		r.step(now, cs, &lend.Order{Hosts: order(id)})
	}
}

// HandBack returns to the dispatchers the grants that arrived for withdrawn asks, and reports whether there were any.
func (r *Role) HandBack(now time.Time) bool {
	grants := r.unused
	r.unused = nil
	for _, grant := range grants {
		r.Finish(now, grant.cell, grant.end)
	}
	return len(grants) > 0
}

func (r *Role) stepAll(now time.Time, event lend.Event) {
	for _, cs := range r.cells {
		r.step(now, cs, event)
	}
}

// ReportProgress sends the dispatchers the costs of running attempts that have changed since the last call.
func (r *Role) ReportProgress(now time.Time) {
	for _, cs := range r.cells {
		r.reportProgress(now, cs)
	}
}

func (r *Role) reportProgress(now time.Time, cs *cellState) {
	cs.costs.forEachChanged(func(attempt cell.AttemptID, cost cell.Cost) {
		r.step(now, cs, &lend.Progress{Progress: cell.Progress{Attempt: attempt, Cost: cost}})
	})
}

// ReportFirstToken records that the first token of a granted attempt arrived, at the given time after
// the request was sent, with the load that the endpoint reported. Shorter times count as 1 ms, since zero means no first token yet.
func (r *Role) ReportFirstToken(now time.Time, id cell.ID, attempt cell.AttemptID, firstToken time.Duration, load cell.EndpointLoad) {
	if cs, ok := r.cells[id]; ok {
		r.step(now, cs, &lend.Progress{Progress: cell.Progress{Attempt: attempt, FirstToken: max(firstToken, time.Millisecond), Load: load}})
	}
}

// Ask queues a request for a grant. It is refused at once if the cell is unknown or
// too many requests of its team wait at this entry.
func (r *Role) Ask(now time.Time, request Ask) {
	cs, ok := r.cells[request.Cell]
	if !ok {
		request.Refuse(result.NoCapacity)
		return
	}
	if left, isRejected := cs.rejections.Find(now, &request.Demand.Prompt); isRejected {
		request.refuse(result.HarmfulPrompt, left)
		return
	}
	if retryAfter, admitted := cs.backlog.Admit(now, request.Demand.Team); !admitted {
		r.config.Unserved.Add(request.Cell, request.Demand.Team, request.Demand.Estimate)
		request.refuse(result.TeamQueueFull, retryAfter)
		return
	}
	cs.asks[request.Demand.Attempt] = request
	r.step(now, cs, &lend.Want{Demand: request.Demand})
}

// Withdraw cancels an ask whose requester no longer reads the reply. If a
// grant has arrived in the reply channel already, it is returned to the dispatcher.
func (r *Role) Withdraw(now time.Time, request Ask) {
	cs, ok := r.cells[request.Cell]
	if !ok {
		return
	}
	attempt := request.Demand.Attempt
	if _, waiting := cs.removeAsk(now, attempt); waiting {
		r.step(now, cs, &lend.Withdraw{Attempt: attempt})
		return
	}
	select {
	case decision := <-request.Reply:
		if decision.Refusal == nil {
			r.Finish(now, request.Cell, cell.End{Attempt: attempt, Outcome: cell.Unused})
		}
	default: // No decision was sent, so no slot is held.
	}
}

// Finish records that a granted attempt has ended and reports its end to the dispatchers that count it.
func (r *Role) Finish(now time.Time, id cell.ID, end cell.End) {
	cs, ok := r.cells[id]
	if !ok {
		return
	}
	cs.costs.close(end.Attempt)
	r.step(now, cs, &lend.End{End: end})
}

// Received handles a message from a dispatcher. The dispatcher had processed everything
// that this router sent up to echoed, on this router's clock.
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
		r.updateStandings(now, from, m)
	case *wire.Rejected:
		r.updateRejections(now, from, m)
	}
}

// lend passes an event to the lender of a cell; an unknown cell is ignored.
func (r *Role) lend(now time.Time, id cell.ID, event lend.Event) {
	if cs, ok := r.cells[id]; ok {
		r.step(now, cs, event)
	}
}

// step passes an event to a cell's lender and carries out the resulting actions.
// The actions are valid until the next step only, but queued messages live longer,
// so slices are cloned.
func (r *Role) step(now time.Time, cs *cellState, event lend.Event) {
	actions := cs.lender.Step(now, event)
	cs.sessionStatus.update(cs.lender.LastEcho())
	for _, action := range actions {
		switch a := action.(type) {
		case *lend.Join:
			r.config.Send(a.Router, &wire.Join{
				Cell: cs.id, Session: a.Session, Stake: a.Stake, UncountedFor: a.UncountedFor,
				Flights: slices.Clone(a.Flights), Counters: slices.Clone(a.Counters), Cached: a.Cached,
				Rejected: cs.rejections.List(now),
			})
		case *lend.Release:
			r.config.Send(a.Router, &wire.Release{Cell: cs.id, Session: a.Session})
		case *lend.Disconnect:
			r.config.Disconnect(a.Router)
		case *lend.SendWant:
			r.config.Send(a.Router, &wire.Want{Cell: cs.id, Session: a.Session, Demands: slices.Clone(a.Demands)})
		case *lend.SendWithdraw:
			r.config.Send(a.Router, &wire.Withdraw{Cell: cs.id, Session: a.Session, Attempts: slices.Clone(a.Attempts)})
		case *lend.SendProgress:
			r.config.Send(a.Router, &wire.Progress{Cell: cs.id, Session: a.Session, Progress: slices.Clone(a.Progress)})
		case *lend.SendEnds:
			r.config.Send(a.Router, &wire.Ends{Cell: cs.id, Ends: slices.Clone(a.Ends)})
		case *lend.Granted:
			r.handleGrant(now, cs, a)
		case *lend.Refused:
			r.handleRefusal(now, cs, a)
		}
	}
}

// handleGrant answers the ask with the grant. If the ask was withdrawn, the grant is kept for HandBack.
func (r *Role) handleGrant(now time.Time, cs *cellState, a *lend.Granted) {
	ask, ok := cs.removeAsk(now, a.Attempt)
	if !ok {
		end := cell.End{Attempt: a.Attempt, Outcome: cell.Unused}
		r.unused = append(r.unused, unused{cs.id, end})
		return
	}
	ask.Reply <- Decision{
		Endpoint: a.Endpoint,
		Address:  r.directory.Address(a.Endpoint),
		Start:    a.Start,
		Fetch:    r.fetchAddress(a.Fetch),
		Expires:  a.Expires,
		Cost:     cs.costs.open(a.Attempt),
		Hold:     cs.sessionStatus.newHold(r.config.GrantValid),

		Predicted: a.Predicted,
	}
}

// fetchAddress returns the address of an engine to copy prompt parts from. It is invalid if
// the name is empty or the engine is no longer configured.
func (r *Role) fetchAddress(from cell.EndpointID) netip.AddrPort {
	if from == "" {
		return netip.AddrPort{}
	}
	return r.directory.Address(from)
}

func (r *Role) handleRefusal(now time.Time, cs *cellState, a *lend.Refused) {
	ask, ok := cs.removeAsk(now, a.Attempt)
	if !ok {
		return
	}
	code := result.Code(a.Code)
	if code == result.TeamQueueFull {
		cs.backlog.Full(now, ask.Demand.Team, a.RetryAfter)
	}
	ask.refuse(code, a.RetryAfter)
}

// RefuseAll withdraws all waiting asks and refuses them with the given code.
func (r *Role) RefuseAll(now time.Time, code result.Code) {
	for _, cs := range r.cells {
		for attempt, ask := range cs.asks {
			cs.removeAsk(now, attempt)
			r.step(now, cs, &lend.Withdraw{Attempt: attempt})
			ask.Refuse(code)
		}
	}
}
