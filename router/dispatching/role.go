package dispatching

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"ryelug/core/admission"
	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/dispatch"
	"ryelug/core/flight"
	"ryelug/core/rollout"
	"ryelug/core/suspect"
	"ryelug/io/wire"
	"ryelug/router/directory"
)

// The teams' counters (service received, divided by the team's share) are sent to the entries in
// rounds. In each round a counter goes to counterCopies entries, so that it survives the loss of
// some of them, but an entry gets at most countersPerEntry counters.
const (
	counterCopies    = 3
	countersPerEntry = 16
)

// Config holds the settings of a Role and the functions that it calls.
type Config struct {
	Self       cell.RouterID
	StakeLease time.Duration   // StakeLease is how long the stake (vote) of an entry counts, from the time at which this router sent the newest frame that the entry has acknowledged.
	GrantValid time.Duration   // GrantValid is how long entries may use a grant.
	Crossing   crossing.Config // Crossing says how requests for other data centres are decided on.
	Order      dispatch.Order  // Order says which waiting request is served next; nil means fair sharing between teams.
	Log        logrus.FieldLogger
	Send       func(to cell.RouterID, message wire.Message) // Send queues a message to an entry and must not block.
	// SetRollout has the state of a roll-out written to the store where that shows another one. It is called repeatedly by the judge of
	// the roll-out and must not block; nil if there are no roll-outs.
	SetRollout func(order rollout.Order, state rollout.State)
	// SaveSuspects has a cell's record of the prompt parts that crash engines written to the store; standsIn tells that this router
	// isn't the cell's dispatcher. It is called again until a directory shows the record, and must not block; nil if there is no store.
	SaveSuspects func(id cell.ID, record suspect.Record, standsIn bool)
}

// Role implements this router's dispatcher role for all cells: it decides which waiting requests of the
// entries may go to which endpoint. It is not safe for concurrent use.
type Role struct {
	config    Config
	cells     map[cell.ID]*cellState
	directory *directory.Directory
	voters    []cell.HostID // voters are the hosts whose stakes (votes) count.
	total     int           // total is the number of parts that each endpoint limit is divided into; this router may grant one part for each stake lent to it.
	leaving   bool

	refusalLogLimiter *rate.Limiter        // refusalLogLimiter limits the rate of log lines on refusals.
	spillLogLimiter   *rate.Limiter        // spillLogLimiter limits the rate of log lines on requests for other data centres.
	spills            []crossing.Spill     // spills is a buffer that is reused between calls.
	tallySecond       time.Time            // tallySecond is the start of the second that the running tallies cover.
	tallies           []dispatch.TeamTally // tallies is a buffer that is reused between calls.
}

// refusalLogRate is the most log lines on refusals in a second, and the largest burst of them. Logging
// a flood of refusals must not cost more than deciding them.
const refusalLogRate = 100

// dispatcher decides about the requests for one cell.
type dispatcher interface {
	Step(now time.Time, ev dispatch.Event) []dispatch.Action
	Snapshot() dispatch.Snapshot
	Counters(dst []cell.TeamCounter) []cell.TeamCounter
}

// tallyReporter is implemented by dispatchers that count the granted and refused requests of each team.
type tallyReporter interface {
	Tallies(dst []dispatch.TeamTally) []dispatch.TeamTally
}

// reportBased is implemented by dispatchers whose decisions need load reports of the endpoints.
type reportBased interface {
	Need(endpoint cell.EndpointID) flight.Need
	ReportDue(after, by time.Time) time.Time
	TakeReportRequested() bool
	RequestReports(now time.Time)
}

// behindReporter is implemented by dispatchers that know which teams have been served much less than their share.
type behindReporter interface {
	Behind(dst []cell.TeamID) []cell.TeamID
}

// crashReporter is implemented by dispatchers that notice the crashes of engines.
type crashReporter interface {
	TakeCrashes() []admission.Crash
}

// partRejecter is implemented by dispatchers that find the prompt parts which crash engines.
type partRejecter interface {
	TakeRejections() []suspect.Rejection
	Rejected() []cell.RejectedPart
	Unsaved() suspect.Urgency
	IsRefreshDue() bool
	Suspects() suspect.Record
}

// cellState is this router's state as dispatcher of one cell (a pool of endpoints, or a slice of one).
type cellState struct {
	id            cell.ID
	dispatcher    dispatcher
	reportBased   reportBased                    // reportBased is the same dispatcher if it needs load reports; nil if it does not.
	entries       map[cell.RouterID]cell.Session // entries holds the entries that have joined, with their sessions.
	counters      []cell.TeamCounter             // counters is a buffer that is reused between rounds.
	loggedWeighed int64                          // loggedWeighed is the value that Snapshot.EndpointsEvaluated, the number of endpoints evaluated for requests so far, had when logWork last logged a line.
	nextCounter   int                            // nextCounter is the index of the counter that is sent next.
	activeSince   time.Time                      // activeSince is when the number of entries last rose from zero.
	queriesKept   bool                           // queriesKept tells that, since activeSince, the conditions were met for asking the engines which prompt parts they have cached.
	sentBehind    []cell.TeamID                  // sentBehind holds the teams that the entries were last told are behind (served much less than their share).
	behindSentAt  time.Time                      // behindSentAt is when the entries were last told which teams are behind.
	rejectedSent  []uint64                       // rejectedSent holds the prompt parts that the entries were last told to reject.
	rejectedAt    time.Time                      // rejectedAt is when the entries were last told which prompt parts to reject.
	suspects      suspectsState
	rollout       judgedRollout
}

// New returns a Role without cells.
func New(config Config) *Role {
	return &Role{config: config, cells: make(map[cell.ID]*cellState), refusalLogLimiter: rate.NewLimiter(refusalLogRate, refusalLogRate), spillLogLimiter: rate.NewLimiter(spillLogRate, spillLogRate)}
}

// Adopt applies a new generation of the configuration. Cells that are new in it are
// added; cells that it lacks are kept with an empty policy.
func (r *Role) Adopt(now time.Time, dir *directory.Directory) {
	r.directory = dir
	for _, id := range dir.Cells() {
		if r.cells[id] == nil {
			r.addCell(now, id)
		}
	}
	for id, cs := range r.cells {
		r.step(now, cs, dir.Policy(id))
	}
}

func (r *Role) addCell(now time.Time, id cell.ID) {
	cs := &cellState{id: id, entries: make(map[cell.RouterID]cell.Session)}
	if r.directory.Policy(id).Predicted {
		cs.dispatcher = admission.New(admission.Config{Cell: id, Crossing: r.config.Crossing})
	} else {
		reporting := dispatch.New(dispatch.Config{Cell: id, GrantValid: r.config.GrantValid, Order: r.config.Order})
		cs.dispatcher, cs.reportBased = reporting, reporting
	}
	r.cells[id] = cs
	r.step(now, cs, &dispatch.Voters{Hosts: r.voters, Total: r.total})
}

// SetVoters sets the hosts whose stakes count, and the total number of parts that each endpoint limit is divided
// into. This router may grant one part for each stake of these hosts that it holds.
func (r *Role) SetVoters(now time.Time, hosts []cell.HostID, total int) {
	r.voters, r.total = hosts, total
	for _, cs := range r.cells {
		r.step(now, cs, &dispatch.Voters{Hosts: hosts, Total: total})
	}
}

// Leave makes the role reject further joins, before a shutdown. Entries that have joined stay until they release their stakes.
func (r *Role) Leave() { r.leaving = true }

// Tick advances the time-driven work of all cells; it must be called at least every 100 ms.
func (r *Role) Tick(now time.Time) {
	r.Renew(now, r.config.Self, now)
	for _, cs := range r.cells {
		r.step(now, cs, &dispatch.Tick{})
		r.sendBehind(now, cs)
		r.logCrashes(cs)
		r.logSpills(cs)
		r.logRejections(now, cs)
		r.sendRejected(now, cs)
		r.saveSuspects(now, cs)
		r.judgeRollout(now, cs)
	}
	if second := now.Truncate(tallyInterval); !second.Equal(r.tallySecond) {
		r.logTallies(r.tallySecond)
		r.tallySecond = second
	}
}

// logCrashes logs the engines of a cell that have crashed.
func (r *Role) logCrashes(cs *cellState) {
	reporter, ok := cs.dispatcher.(crashReporter)
	if !ok {
		return
	}
	for _, crash := range reporter.TakeCrashes() {
		r.config.Log.WithFields(logrus.Fields{
			"cell": cs.id, "endpoint": crash.Endpoint, "start": crash.Start, "age_ms": crash.Age.Milliseconds(), "broken": crash.Broken, "waiting": crash.Waiting,
		}).Warn("An engine has crashed.")
	}
}

// Snapshots returns, for metrics, the state of the cells that at least one entry has joined here.
func (r *Role) Snapshots() []dispatch.Snapshot {
	var snapshots []dispatch.Snapshot
	for _, cs := range r.cells {
		if len(cs.entries) > 0 {
			snapshots = append(snapshots, cs.dispatcher.Snapshot())
		}
	}
	return snapshots
}

// TellCounters sends each entry of each cell some of the teams' counters (service received, divided
// by the team's share), which the entry brings along when it joins another dispatcher.
func (r *Role) TellCounters() {
	for _, cs := range r.cells {
		r.sendCounters(cs)
	}
}

// Renew extends the leases of the stakes that an entry lends here: each counts for StakeLease after
// echoed, the time at which this router sent the newest frame that the entry has acknowledged. A zero echoed extends nothing.
func (r *Role) Renew(now time.Time, router cell.RouterID, echoed time.Time) {
	if echoed.IsZero() {
		return
	}
	for _, cs := range r.cells {
		if session, ok := cs.entries[router]; ok {
			r.renewSession(now, cs, router, session, echoed)
		}
	}
}

func (r *Role) renewSession(now time.Time, cs *cellState, router cell.RouterID, session cell.Session, echoed time.Time) {
	until := echoed.Add(r.config.StakeLease)
	r.step(now, cs, &dispatch.Renew{Router: router, Session: session, StakeUntil: until})
}

// Entries adds to dst the routers that have joined a cell here.
func (r *Role) Entries(dst map[cell.RouterID]bool) {
	for _, cs := range r.cells {
		for router := range cs.entries {
			dst[router] = true
		}
	}
}

// Lost ends the sessions of an entry whose link has closed. Its running attempts still count against the endpoints' limits.
func (r *Role) Lost(now time.Time, router cell.RouterID) {
	for _, cs := range r.cells {
		session, ok := cs.entries[router]
		if !ok {
			continue
		}
		r.removeEntry(cs, router)
		r.step(now, cs, &dispatch.Leave{Router: router, Session: session})
	}
}

// Received handles a message from an entry. The entry had processed everything that this
// router sent up to echoed, on this router's clock.
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

// dispatch passes an event to the dispatcher of a cell; an unknown cell is ignored.
func (r *Role) dispatch(now time.Time, id cell.ID, event dispatch.Event) {
	if cs, ok := r.cells[id]; ok {
		r.step(now, cs, event)
	}
}

// join starts a session with an entry. If this router shuts down or does not know the cell, it answers Released
// at once, so that the entry chooses another dispatcher. A session that is not newer than the present one is ignored.
func (r *Role) join(now time.Time, from cell.RouterID, m *wire.Join, echoed time.Time) {
	cs, ok := r.cells[m.Cell]
	if !ok || r.leaving {
		r.config.Send(from, &wire.Released{Cell: m.Cell, Session: m.Session})
		return
	}
	if last, joined := cs.entries[from]; joined && last >= m.Session {
		return
	}
	r.addEntry(now, cs, from, m.Session)
	r.step(now, cs, &dispatch.Join{
		Router: from, Session: m.Session, Stake: m.Stake, UncountedFor: m.UncountedFor, Flights: m.Flights, Counters: m.Counters, Cached: m.Cached,
		Rejected: m.Rejected,
	})
	if !echoed.IsZero() {
		r.renewSession(now, cs, from, m.Session, echoed)
	}
	r.config.Send(from, &wire.Accepted{Cell: m.Cell, Session: m.Session})
}

func (r *Role) addEntry(now time.Time, cs *cellState, router cell.RouterID, session cell.Session) {
	if len(cs.entries) == 0 {
		cs.activeSince, cs.queriesKept = now, false
		r.config.Log.WithField("cell", cs.id).Info("This router dispatches a cell.")
	}
	cs.entries[router] = session
}

func (r *Role) removeEntry(cs *cellState, router cell.RouterID) {
	delete(cs.entries, router)
	if len(cs.entries) == 0 {
		r.config.Log.WithField("cell", cs.id).Info("This router dispatches a cell no more.")
	}
}

func (r *Role) release(now time.Time, from cell.RouterID, m *wire.Release) {
	cs, ok := r.cells[m.Cell]
	if ok && cs.entries[from] == m.Session {
		r.removeEntry(cs, from)
		r.step(now, cs, &dispatch.Leave{Router: from, Session: m.Session})
	}
	r.config.Send(from, &wire.Released{Cell: m.Cell, Session: m.Session})
}

// step passes an event to a cell's dispatcher and sends its decisions. Consecutive grants
// to the same session share one message.
func (r *Role) step(now time.Time, cs *cellState, event dispatch.Event) {
	var grants *wire.Grants
	var to cell.RouterID
	for _, action := range cs.dispatcher.Step(now, event) {
		switch action := action.(type) {
		case *dispatch.GrantTo:
			if grants == nil || to != action.Router || grants.Session != action.Session {
				grants = r.startGrants(cs, to, grants, action)
				to = action.Router
			}
			grants.Grants = append(grants.Grants, action.Grant)
		case *dispatch.RefuseTo:
			r.logRefusal(cs, action)
			r.config.Send(action.Router, refusals(cs, action))
		}
	}
	if grants != nil {
		r.config.Send(to, grants)
	}
}

// startGrants sends a finished message of grants, if there is one, and returns an empty one for the session of the next grant.
func (r *Role) startGrants(cs *cellState, to cell.RouterID, done *wire.Grants, next *dispatch.GrantTo) *wire.Grants {
	if done != nil {
		r.config.Send(to, done)
	}
	return &wire.Grants{Cell: cs.id, Session: next.Session}
}

func refusals(cs *cellState, action *dispatch.RefuseTo) *wire.Refusals {
	refusal := cell.Refusal{Attempt: action.Attempt, Code: uint16(action.Code), RetryAfter: action.RetryAfter}
	return &wire.Refusals{Cell: cs.id, Session: action.Session, Refusals: []cell.Refusal{refusal}}
}

// sendCounters sends each entry the next slice of the teams' counters. When this
// dispatcher is lost, the entries together can restore the counters at the next one.
func (r *Role) sendCounters(cs *cellState) {
	if len(cs.entries) == 0 {
		return
	}
	cs.counters = cs.dispatcher.Counters(cs.counters[:0])
	if len(cs.counters) == 0 {
		return
	}
	for router := range cs.entries {
		slice := cs.nextCounters(cs.counterShare())
		r.config.Send(router, &wire.Counters{Cell: cs.id, Counters: slice})
	}
}

// counterShare returns how many counters each entry is sent in a round.
func (s *cellState) counterShare() int {
	entries := len(s.entries)
	share := (counterCopies*len(s.counters) + entries - 1) / entries
	return min(share, countersPerEntry, len(s.counters))
}

// nextCounters returns copies of the next count counters and starts again at the first after the last.
func (s *cellState) nextCounters(count int) []cell.TeamCounter {
	slice := make([]cell.TeamCounter, 0, count)
	for range count {
		s.nextCounter %= len(s.counters)
		slice = append(slice, s.counters[s.nextCounter])
		s.nextCounter++
	}
	return slice
}
