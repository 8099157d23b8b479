package dispatching

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"ryelug/core/admission"
	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/flight"
	"ryelug/io/wire"
	"ryelug/router/directory"
)

// What a round of counters tells: each counter to some entries, so that the loss
// of a few loses none, and to one entry no more than it may be sent.
const (
	counterCopies    = 3
	countersPerEntry = 16
)

// Config sets up a Role.
type Config struct {
	Self       cell.RouterID
	StakeLease time.Duration // StakeLease is how long a stake counts after the stamp that its entry has echoed.
	GrantValid time.Duration // GrantValid is how long entries may use a grant.
	Order      dispatch.Order
	Log        logrus.FieldLogger
	Send       func(to cell.RouterID, message wire.Message) // Send must not block.
}

// Role is a router's part as dispatcher; one goroutine may use it.
type Role struct {
	config    Config
	cells     map[cell.ID]*state
	directory *directory.Directory
	voters    []cell.HostID
	total     int
	leaving   bool

	refusalLines *rate.Limiter        // refusalLines bounds the log's lines on refusals.
	tallied      time.Time            // tallied is the second that the tallies are of.
	tallies      []dispatch.TeamTally // tallies is scratch space.
}

// refusalRate is how many lines a second a dispatcher logs on refusals, and at once; a flood of them must not cost
// more than the decisions.
const refusalRate = 100

// dispatcher decides for one cell.
type dispatcher interface {
	Step(now time.Time, ev dispatch.Event) []dispatch.Action
	Snapshot() dispatch.Snapshot
	Counters(dst []cell.TeamCounter) []cell.TeamCounter
}

// tallied is a dispatcher that counts what becomes of each team's requests.
type tallied interface {
	Tallies(dst []dispatch.TeamTally) []dispatch.TeamTally
}

// reported is a dispatcher whose decisions rest on the endpoints' own reports.
type reported interface {
	Need(endpoint cell.EndpointID) flight.Need
	ReportDue(after, by time.Time) time.Time
	TakeWanted() bool
	WantReports(now time.Time)
}

// standing is a dispatcher that knows which teams got too little of what they are owed.
type standing interface {
	Behind(dst []cell.TeamID) []cell.TeamID
}

// state is one cell that this router may dispatch.
type state struct {
	id         cell.ID
	dispatcher dispatcher
	reported   reported                       // reported is nil if the dispatcher needs no reports.
	entries    map[cell.RouterID]cell.Session // entries are those that have joined.
	counters   []cell.TeamCounter
	weighed    int64         // weighed is the count of the last line on the dispatcher's work.
	counterAt  int           // counterAt is where the next round of counters starts.
	since      time.Time     // since is when the first of the present entries joined.
	behind     []cell.TeamID // behind is what the entries were told last,
	toldAt     time.Time     // toldAt when.
}

// New returns a Role without cells.
func New(config Config) *Role {
	return &Role{config: config, cells: make(map[cell.ID]*state), refusalLines: rate.NewLimiter(refusalRate, refusalRate)}
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
		r.step(now, at, next.Policy(id))
	}
}

func (r *Role) open(now time.Time, id cell.ID) {
	at := &state{id: id, entries: make(map[cell.RouterID]cell.Session)}
	if r.directory.Policy(id).Predicted {
		at.dispatcher = admission.New(admission.Config{Cell: id})
	} else {
		one := dispatch.New(dispatch.Config{Cell: id, GrantValid: r.config.GrantValid, Order: r.config.Order})
		at.dispatcher, at.reported = one, one
	}
	r.cells[id] = at
	r.step(now, at, &dispatch.Voters{Hosts: r.voters, Total: r.total})
}

// SetVoters notes whose stakes count, and the number that they are divided by.
func (r *Role) SetVoters(now time.Time, hosts []cell.HostID, total int) {
	r.voters, r.total = hosts, total
	for _, at := range r.cells {
		r.step(now, at, &dispatch.Voters{Hosts: hosts, Total: total})
	}
}

// Leave makes the role take no entry in any more.
func (r *Role) Leave() { r.leaving = true }

// Tick lets time pass.
func (r *Role) Tick(now time.Time) {
	r.Renew(now, r.config.Self, now)
	for _, at := range r.cells {
		r.step(now, at, &dispatch.Tick{})
		r.tellBehind(now, at)
	}
	if second := now.Truncate(tallyEvery); !second.Equal(r.tallied) {
		r.logTallies(r.tallied)
		r.tallied = second
	}
}

// Snapshots returns the state of the cells that entries have joined.
func (r *Role) Snapshots() []dispatch.Snapshot {
	var shots []dispatch.Snapshot
	for _, at := range r.cells {
		if len(at.entries) > 0 {
			shots = append(shots, at.dispatcher.Snapshot())
		}
	}
	return shots
}

// TellCounters tells every entry some of the teams' counters.
func (r *Role) TellCounters() {
	for _, at := range r.cells {
		r.tellCounters(at)
	}
}

// Renew prolongs the stakes that an entry lends here.
func (r *Role) Renew(now time.Time, router cell.RouterID, echoed time.Time) {
	if echoed.IsZero() {
		return
	}
	for _, at := range r.cells {
		if session, ok := at.entries[router]; ok {
			r.renewSession(now, at, router, session, echoed)
		}
	}
}

func (r *Role) renewSession(now time.Time, at *state, router cell.RouterID, session cell.Session, echoed time.Time) {
	until := echoed.Add(r.config.StakeLease)
	r.step(now, at, &dispatch.Renew{Router: router, Session: session, StakeUntil: until})
}

// Entries adds the routers that have joined a cell here.
func (r *Role) Entries(dst map[cell.RouterID]bool) {
	for _, at := range r.cells {
		for router := range at.entries {
			dst[router] = true
		}
	}
}

// Lost ends the sessions of an entry whose link has closed; its flights stay counted.
func (r *Role) Lost(now time.Time, router cell.RouterID) {
	for _, at := range r.cells {
		session, ok := at.entries[router]
		if !ok {
			continue
		}
		r.drop(at, router)
		r.step(now, at, &dispatch.Leave{Router: router, Session: session})
	}
}

// Received delivers an entry's message to the dispatcher of its cell.
func (r *Role) Received(now time.Time, from cell.RouterID, message wire.Message, echoed time.Time) {
	switch m := message.(type) {
	case *wire.Join:
		r.join(now, from, m, echoed)
	case *wire.Release:
		r.release(now, from, m)
	case *wire.Want:
		r.dispatch(now, m.Cell, &dispatch.Want{Router: from, Session: m.Session, Demands: m.Demands})
	case *wire.Withdraw:
		r.dispatch(now, m.Cell, &dispatch.Withdraw{Router: from, Session: m.Session, Attempts: m.Attempts})
	case *wire.Unserved:
		r.dispatch(now, m.Cell, &dispatch.Unserved{Router: from, Session: m.Session, Teams: m.Teams})
	case *wire.Progress:
		r.dispatch(now, m.Cell, &dispatch.Progressed{Router: from, Session: m.Session, Progress: m.Progress})
	case *wire.Ends:
		r.dispatch(now, m.Cell, &dispatch.Ended{Router: from, Ends: m.Ends})
	}
}

// dispatch steps the dispatcher of a cell, if this router knows the cell.
func (r *Role) dispatch(now time.Time, id cell.ID, event dispatch.Event) {
	if at, ok := r.cells[id]; ok {
		r.step(now, at, event)
	}
}

// join takes an entry in. A router that leaves or does not know the cell sends it on.
func (r *Role) join(now time.Time, from cell.RouterID, m *wire.Join, echoed time.Time) {
	at, ok := r.cells[m.Cell]
	if !ok || r.leaving {
		r.config.Send(from, &wire.Released{Cell: m.Cell, Session: m.Session})
		return
	}
	if last, joined := at.entries[from]; joined && last >= m.Session {
		return
	}
	r.add(now, at, from, m.Session)
	r.step(now, at, &dispatch.Join{
		Router: from, Session: m.Session, Stake: m.Stake, Unlent: m.Unlent, Flights: m.Flights, Counters: m.Counters, Kept: m.Kept,
	})
	if !echoed.IsZero() {
		r.renewSession(now, at, from, m.Session, echoed)
	}
	r.config.Send(from, &wire.Accepted{Cell: m.Cell, Session: m.Session})
}

func (r *Role) add(now time.Time, at *state, router cell.RouterID, session cell.Session) {
	if len(at.entries) == 0 {
		at.since = now
		r.config.Log.WithField("cell", at.id).Info("This router dispatches a cell.")
	}
	at.entries[router] = session
}

func (r *Role) drop(at *state, router cell.RouterID) {
	delete(at.entries, router)
	if len(at.entries) == 0 {
		r.config.Log.WithField("cell", at.id).Info("This router dispatches a cell no more.")
	}
}

func (r *Role) release(now time.Time, from cell.RouterID, m *wire.Release) {
	at, ok := r.cells[m.Cell]
	if ok && at.entries[from] == m.Session {
		r.drop(at, from)
		r.step(now, at, &dispatch.Leave{Router: from, Session: m.Session})
	}
	r.config.Send(from, &wire.Released{Cell: m.Cell, Session: m.Session})
}

// step steps a dispatcher and sends what it decided, one message for each run of a router's grants.
func (r *Role) step(now time.Time, at *state, event dispatch.Event) {
	var grants *wire.Grants
	var to cell.RouterID
	for _, action := range at.dispatcher.Step(now, event) {
		switch action := action.(type) {
		case *dispatch.GrantTo:
			if grants == nil || to != action.Router || grants.Session != action.Session {
				grants = r.startGrants(at, to, grants, action)
				to = action.Router
			}
			grants.Grants = append(grants.Grants, action.Grant)
		case *dispatch.RefuseTo:
			r.logRefusal(at, action)
			r.config.Send(action.Router, refusals(at, action))
		}
	}
	if grants != nil {
		r.config.Send(to, grants)
	}
}

// startGrants sends the run of grants that is complete and starts the next one.
func (r *Role) startGrants(at *state, to cell.RouterID, done *wire.Grants, next *dispatch.GrantTo) *wire.Grants {
	if done != nil {
		r.config.Send(to, done)
	}
	return &wire.Grants{Cell: at.id, Session: next.Session}
}

func refusals(at *state, action *dispatch.RefuseTo) *wire.Refusals {
	refusal := cell.Refusal{Attempt: action.Attempt, Code: uint16(action.Code), RetryAfter: action.RetryAfter}
	return &wire.Refusals{Cell: at.id, Session: action.Session, Refusals: []cell.Refusal{refusal}}
}

// tellCounters sends each entry the next slice of the teams' counters, so that
// the entries together can restore them at the next dispatcher.
func (r *Role) tellCounters(at *state) {
	if len(at.entries) == 0 {
		return
	}
	at.counters = at.dispatcher.Counters(at.counters[:0])
	if len(at.counters) == 0 {
		return
	}
	for router := range at.entries {
		slice := at.nextCounters(at.counterShare())
		r.config.Send(router, &wire.Counters{Cell: at.id, Counters: slice})
	}
}

// counterShare returns how many counters each entry is told in a round.
func (s *state) counterShare() int {
	entries := len(s.entries)
	share := (counterCopies*len(s.counters) + entries - 1) / entries
	return min(share, countersPerEntry, len(s.counters))
}

// nextCounters returns the next few counters, round and round; the slice is the receiver's own.
func (s *state) nextCounters(count int) []cell.TeamCounter {
	slice := make([]cell.TeamCounter, 0, count)
	for range count {
		s.counterAt %= len(s.counters)
		slice = append(slice, s.counters[s.counterAt])
		s.counterAt++
	}
	return slice
}
