package spread

import (
	"cmp"
	"math/rand/v2"
	"time"

	"ryelug/core/candidate"
	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/watcher"
)

// Defaults of Config.
const (
	DefaultWatchers = 2
	DefaultCheck    = time.Second
	DefaultConfirm  = time.Second
	DefaultStale    = 2500 * time.Millisecond
	DefaultRepeat   = 500 * time.Millisecond
	DefaultAnswer   = 300 * time.Millisecond
	DefaultGrace    = 500 * time.Millisecond
	DefaultFanOut   = 3
)

const (
	jitterPerMember = 20 * time.Millisecond // jitterPerMember spreads the reads of a data centre over time.
	minJitter       = 500 * time.Millisecond
	maxBackoff      = 16 * time.Second
	maxReads        = 2                      // maxReads bounds the reads of the root at a time.
	secondRead      = 400 * time.Millisecond // secondRead is when a read that hangs gets company.
	stuckRetry      = time.Second
)

// Config says who the router is and how long it waits.
type Config struct {
	Self        cell.RouterID
	DataCentre  string
	Environment string
	Seed        uint64        // Seed sets the jitter.
	Watchers    int           // Watchers is the number of routers of a data centre that watch.
	Check       time.Duration // Check is how often a watcher reads the root's version.
	Confirm     time.Duration // Confirm is how often a watcher tells its data centre that its news are fresh.
	Stale       time.Duration // Stale is the age of news at which a router reads for itself.
	Repeat      time.Duration // Repeat is how often a peer that is behind is told again.
	Answer      time.Duration // Answer bounds the wait for a peer's answer.
	FanOut      int           // FanOut is how many routers of its data centre a router passes a generation on to.
	Grace       time.Duration // Grace is how long a host without a link still counts as a watcher.
}

func (c *Config) setDefaults() {
	c.Watchers = cmp.Or(c.Watchers, DefaultWatchers)
	c.Check = cmp.Or(c.Check, DefaultCheck)
	c.Confirm = cmp.Or(c.Confirm, DefaultConfirm)
	c.Stale = cmp.Or(c.Stale, DefaultStale)
	c.Repeat = cmp.Or(c.Repeat, DefaultRepeat)
	c.Answer = cmp.Or(c.Answer, DefaultAnswer)
	c.Grace = cmp.Or(c.Grace, DefaultGrace)
	c.FanOut = cmp.Or(c.FanOut, DefaultFanOut)
}

// peer is what is known of a router at the other end of a link.
type peer struct {
	generation uint64    // generation is the newest that it said it has.
	told       uint64    // told is the generation that it was told last.
	toldAt     time.Time // toldAt is when it was told.
}

// Machine is one router's view of the configuration.
type Machine struct {
	config  Config
	random  *rand.Rand
	now     time.Time
	actions []Action

	peers    map[cell.RouterID]*peer
	roles    *watcher.Table
	watching bool

	root      config.Root
	rawRoot   []byte
	parts     map[string][]byte
	adoptedAt time.Time
	pending   *candidate.Candidate
	fetching  map[string]bool // fetching holds the parts that are being read from the platform.

	rejects  candidate.Rejects
	stuck    []byte // stuck is a root whose parts the platform did not give.
	stuckAt  time.Time
	reported uint64 // reported is the last generation whose parts were reported.

	held      []byte    // held is the root that the platform gave last.
	reading   int       // reading is the number of reads of the root that are under way.
	readAt    time.Time // readAt is when the next read of the root is due.
	startedAt time.Time // startedAt is when the last read of the root began.
	failures  int       // failures counts reads of the root that failed in a row.
	contact   time.Time // contact is when the platform last answered a read of the root.
	relayed   time.Time // relayed is when a watcher of another data centre last confirmed its news.
	heard     time.Time // heard is when this router last had fresh news of any kind.
	confirmAt time.Time // confirmAt is when the next confirmation is due.
}

// New returns the machine of a router without a configuration.
func New(config Config, now time.Time) *Machine {
	config.setDefaults()
	m := &Machine{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		now:      now,
		peers:    map[cell.RouterID]*peer{},
		parts:    map[string][]byte{},
		rejects:  candidate.Rejects{},
		fetching: map[string]bool{},
		heard:    now,
	}
	m.roles = watcher.New(watcher.Config{
		Self:       config.Self.Host(),
		DataCentre: config.DataCentre,
		Watchers:   config.Watchers,
		FanOut:     config.FanOut,
		Grace:      config.Grace,
	})
	m.readAt = now.Add(m.jitter(minJitter))
	return m
}

// Watching reports whether this router watches the platform.
func (m *Machine) Watching() bool {
	return m.watching
}

// Step takes one event and returns what is to be done; the result is valid until the next Step.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.now = now
	m.actions = m.actions[:0]
	switch e := event.(type) {
	case *Members:
		m.roles.SetMembers(now, e.Members)
	case *PeerUp:
		m.peerUp(e.Router)
	case *PeerDown:
		m.peerDown(e.Router)
	case *News:
		m.news(e)
	case *Ask:
		m.answer(e)
	case *Part:
		m.store(e.Hash, e.Data)
	case *RootRead:
		m.rootRead(e)
	case *RootFailed:
		m.rootFailed()
	case *PartRead:
		m.partRead(e)
	case *PartFailed:
		m.partFailed(e)
	case *Tick:
		m.roles.Update(now)
	}
	m.updateRole()
	m.scheduleRead()
	before := m.root.Generation
	m.pursue()
	if _, tick := event.(*Tick); tick || m.root.Generation != before {
		m.announce()
	}
	return m.actions
}

func (m *Machine) do(a Action) {
	m.actions = append(m.actions, a)
}

// jitter returns a random duration from 0 to most.
func (m *Machine) jitter(most time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(most) + 1))
}

// age returns the time since t.
func (m *Machine) age(t time.Time) time.Duration {
	return m.now.Sub(t)
}
