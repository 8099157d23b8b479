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

// Defaults of the fields of Config with the same names.
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
	jitterPerMember    = 20 * time.Millisecond  // jitterPerMember times the number of hosts is the time over which non-watchers spread their reads of the root.
	minJitter          = 500 * time.Millisecond // minJitter is the least time over which the reads of the root are spread, also after the start of a router.
	maxBackoff         = 16 * time.Second       // maxBackoff bounds the wait of a non-watcher after failed reads, before jitter.
	maxConcurrentReads = 2                      // maxConcurrentReads bounds the reads of the root that are in progress at once.
	hedgeDelay         = 400 * time.Millisecond // hedgeDelay is the age of an unanswered read of the root from which a second one is started.
	incompleteRetry    = time.Second            // incompleteRetry is the time until a root that could not be completed is tried again.
)

// Config identifies the router and sets its intervals and limits. Zero values other than those of
// Self, DataCentre, Environment and Seed are replaced by the defaults.
type Config struct {
	Self        cell.RouterID // Self is this router.
	DataCentre  string        // DataCentre names the data centre of this router.
	Environment string        // Environment is the environment whose configuration this router accepts; roots of others are rejected.
	Seed        uint64        // Seed seeds the random jitter.
	Watchers    int           // Watchers is the number of routers in each data centre that watch the platform.
	Check       time.Duration // Check is the interval at which a watcher reads the root, in case its watch misses a change.
	Confirm     time.Duration // Confirm is the interval at which a watcher confirms its generation to the peers of its data centre and to watchers of others.
	Stale       time.Duration // Stale is the time without confirmation after which a router reads the platform itself.
	Repeat      time.Duration // Repeat is the least time between two announcements to a peer that has an older generation.
	Answer      time.Duration // Answer bounds the wait for a peer's answer to a request.
	FanOut      int           // FanOut is how many routers of its data centre a router forwards a new generation to.
	Grace       time.Duration // Grace is how long a host without a link may keep its role as a watcher.
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

// peer holds what is known of the router at the other end of a link.
type peer struct {
	generation uint64    // generation is the one that the peer last announced; zero if it has announced none.
	sent       uint64    // sent is the generation that was last announced to the peer; zero if none was.
	sentAt     time.Time // sentAt is when a generation was last announced to the peer.
}

// Machine decides for one router which configuration is in force and what to ask for next. It is not safe for concurrent use.
type Machine struct {
	config  Config     // config is the router's configuration with defaults filled in.
	random  *rand.Rand // random is the source of the jitter.
	now     time.Time  // now is the time of the current Step.
	actions []Action   // actions collects the result of the current Step.

	peers    map[cell.RouterID]*peer // peers holds the linked routers.
	roles    *watcher.Table          // roles decides which hosts watch and to whom this host forwards.
	watching bool                    // watching is true while this router watches the platform.

	root      config.Root          // root is the root in force; its generation is zero while there is none.
	rawRoot   []byte               // rawRoot is the encoded form of root.
	parts     map[string][]byte    // parts holds the parts of the root in force by their hashes.
	adoptedAt time.Time            // adoptedAt is when root was put in force.
	pending   *candidate.Candidate // pending is the higher generation that is being fetched; nil if none is.
	fetching  map[string]bool      // fetching holds the hashes of the parts that are being read from the platform.

	rejects      candidate.Rejects // rejects remembers the roots that can't be adopted.
	incomplete   []byte            // incomplete is an encoded root whose parts the platform could not deliver; nil if there is none.
	incompleteAt time.Time         // incompleteAt is when the fetch of the incomplete root was given up.
	reported     uint64            // reported is the last generation that was reported for a missing or wrong part.

	platformRoot  []byte    // platformRoot is the root that the platform last returned, encoded; empty if it had none.
	readsInFlight int       // readsInFlight is the number of reads of the root that have not been answered.
	nextReadAt    time.Time // nextReadAt is when the next read of the root is due.
	lastReadAt    time.Time // lastReadAt is when the last read of the root was started.
	failures      int       // failures counts the failed reads of the root since the last successful one.
	contactAt     time.Time // contactAt is when the platform last answered a read of the root.
	relayedAt     time.Time // relayedAt is when a watcher of another data centre last announced its generation.
	freshAt       time.Time // freshAt is when this router last had any confirmation that its generation is current; zero makes it read the platform.
	nextConfirmAt time.Time // nextConfirmAt is when the next confirmation to peers is due; zero if a router that does not watch has none to send.
}

// New returns the Machine of a router that has no configuration yet.
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
		freshAt:  now,
	}
	m.roles = watcher.New(watcher.Config{
		Self:       config.Self.Host(),
		DataCentre: config.DataCentre,
		Watchers:   config.Watchers,
		FanOut:     config.FanOut,
		Grace:      config.Grace,
	})
	m.nextReadAt = now.Add(m.jitter(minJitter))
	return m
}

// Watching reports whether this router watches the platform.
func (m *Machine) Watching() bool {
	return m.watching
}

// Step handles one event and returns the actions to perform in order. The slice is valid until the next Step.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.now = now
	m.actions = m.actions[:0]
	switch e := event.(type) {
	case *Members:
		m.roles.SetMembers(now, e.Members)
	case *PeerUp:
		m.handlePeerUp(e.Router)
	case *PeerDown:
		m.handlePeerDown(e.Router)
	case *Announcement:
		m.handleNews(e)
	case *PartRequest:
		m.handleAsk(e)
	case *Part:
		m.storePart(e.Hash, e.Data)
	case *RootRead:
		m.handleRootRead(e)
	case *RootFailed:
		m.handleRootFailed()
	case *PartRead:
		m.handlePartRead(e)
	case *PartFailed:
		m.handlePartFailed(e)
	case *Tick:
		m.roles.Update(now)
	}
	m.updateRole()
	m.scheduleRead()
	before := m.root.Generation
	m.advanceCandidate()
	if _, tick := event.(*Tick); tick || m.root.Generation != before {
		m.announce()
	}
	return m.actions
}

// emit adds an action to the result of the current Step.
func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

// jitter returns a random duration between 0 and most, both included.
func (m *Machine) jitter(most time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(most) + 1))
}

// age returns the time that has passed since t.
func (m *Machine) age(t time.Time) time.Duration {
	return m.now.Sub(t)
}
