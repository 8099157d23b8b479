package coordination

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"ryelug/core/cell"
	"ryelug/core/member"
	"ryelug/core/result"
	"ryelug/core/spread"
	"ryelug/io/operator"
	"ryelug/io/peer"
	"ryelug/io/wire"
	"ryelug/router/directory"
	"ryelug/router/dispatching"
	"ryelug/router/lending"
	"ryelug/router/links"
)

// Sizes of the coordinator's rings and the pace of its duties.
const (
	commandRing      = 4096                   // commands
	tickInterval     = 50 * time.Millisecond  // between two passes over all cells
	progressInterval = time.Second            // between two reports of the cost of running attempts
	countersInterval = time.Second            // between two rounds of counters to entries
	candidates       = 3                      // hosts of a cell's order whose loss is noticed soon: two may be lost at a time
	slowStep         = 200 * time.Millisecond // a pass that takes longer is logged
)

// Coordinator is the duty that owns the member table and the state of all cells.
type Coordinator struct {
	config    Config
	self      cell.RouterID
	log       logrus.FieldLogger
	commands  chan command
	done      chan struct{} // done is closed when run has returned.
	mesh      *peer.Mesh
	news      News
	table     *member.Table
	dispatch  *dispatching.Role
	lend      *lending.Role
	links     *links.Set
	loopback  []wire.Message // loopback holds this router's messages to itself.
	began     time.Time      // began is when the present step began; what it decides is no younger.
	directory *directory.Directory
	members   []member.Member // members is the list that the links and the configuration duty were told last.
	voters    []cell.HostID   // voters and total are what the dispatchers were told last.
	total     int
	signs     []cell.HostID // signs is what the peers were told last; nil until there is a configuration.
	waiting   []cell.HostID // waiting is the hosts of which they were told last that their votes do not count here.
	leaving   bool
	majority  bool // majority tells that this router was linked to more than half of the listed hosts last.
	cutOff    atomic.Bool
	sweeps    atomic.Bool // sweeps tells that this router deletes old records of keys.
	shares    int         // shares is the number of routers that what the fleet has was shared among last.
	polled    atomic.Pointer[[]dispatching.Target]
	busy      atomic.Int64              // busy is the time that the loop has taken for its steps, in nanoseconds.
	listedAt  atomic.Pointer[time.Time] // listedAt is when a list of hosts came last, read here or by a watcher.
	pollNow   chan struct{}             // pollNow asks for a round of load reports before the next one is due.
	early     *time.Timer               // early ends when a report lets further stakes count.
	earlyFrom time.Time                 // earlyFrom is the earliest time that reports of the last early round can stem from.

	dispatchers map[cell.RouterID]bool // dispatchers and entries are scratch space of pace.
	entries     map[cell.RouterID]bool

	progressAt time.Time
	countersAt time.Time
}

// New returns a Coordinator that Run starts.
func New(config Config) *Coordinator {
	c := &Coordinator{
		config:   config,
		self:     config.Self,
		log:      operator.Part(config.Log, operator.RouterPart),
		commands: make(chan command, commandRing),
		done:     make(chan struct{}),
		pollNow:  make(chan struct{}, 1),
		mesh:     peer.New(config.Peer),
		table: member.New(member.Config{
			Self:        config.Self.Host(),
			Started:     time.Now(),
			Lag:         config.Timings.ListLag,
			CutOffAfter: config.Timings.CutOffAfter,
			Durable:     config.Registered,
		}),
		links:       links.New(),
		dispatchers: make(map[cell.RouterID]bool),
		entries:     make(map[cell.RouterID]bool),
		early:       time.NewTimer(tickInterval),
	}
	c.early.Stop()
	c.cutOff.Store(true) // Nothing has been heard yet.
	c.dispatch = dispatching.New(dispatching.Config{
		Self:       config.Self,
		Log:        operator.Part(config.Log, operator.DispatchPart),
		StakeLease: config.Timings.StakeLease,
		GrantValid: config.Timings.GrantValid,
		Order:      config.Order,
		Send:       c.toEntry,
	})
	c.lend = lending.New(lending.Config{
		Self:       config.Self,
		Started:    time.Now(),
		StakeLease: config.Timings.StakeLease,
		GrantValid: config.Timings.GrantValid,
		Early:      config.Registered,
		Local:      config.LocalQueues,
		Send:       c.toDispatcher,
		Disconnect: c.links.Disconnect,
		Standings:  config.Standings,
		Unserved:   config.Unserved,
	})
	return c
}

// Run owns the state and the links until ctx ends.
func (c *Coordinator) Run(ctx context.Context, news News) error {
	c.news = news
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.mesh.Run(ctx) })
	group.Go(func() error { return c.loop(ctx) })
	return group.Wait()
}

func (c *Coordinator) loop(ctx context.Context) error {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer c.early.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event, ok := <-c.mesh.Events():
			if !ok {
				return nil
			}
			c.began = time.Now()
			c.peerEvent(event)
		case cmd := <-c.commands:
			c.began = time.Now()
			c.handle(c.began, cmd)
		case <-ticker.C:
			c.began = time.Now()
			c.tick(c.began)
		case <-c.early.C:
			c.began = time.Now()
			c.pollEarly(c.began)
		}
		c.drain()
		if c.dispatch.TakeWanted() {
			c.choosePolled()
			c.askReports()
		}
		c.busy.Add(int64(time.Since(c.began)))
	}
}

// postAlways hands a command to the coordinator, unless that has ended.
func (c *Coordinator) postAlways(cmd command) {
	select {
	case c.commands <- cmd:
	case <-c.done:
	}
}

// post hands a command to the coordinator, or gives up when ctx ends.
func (c *Coordinator) post(ctx context.Context, cmd command) bool {
	select {
	case c.commands <- cmd:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Coordinator) handle(now time.Time, cmd command) {
	switch cmd := cmd.(type) {
	case ask:
		c.ask(now, cmd)
	case withdraw:
		c.lend.Withdraw(now, cmd.Ask)
	case finish:
		c.lend.Finish(now, cmd.cell, cmd.end)
	case begun:
		c.lend.Begun(now, cmd.cell, cmd.attempt, cmd.first)
	case adopt:
		c.adopt(now, cmd.directory)
	case listed:
		c.handleListed(now, cmd)
	case holds:
		c.handleHolds(now, cmd)
	case measured:
		c.handleMeasured(now, cmd)
	case tell:
		c.tell(cmd)
	case depart:
		c.depart(now)
	case farewell:
		c.links.OnAll(&wire.Departed{})
	case inspect:
		cmd.reply <- c.view(now)
	}
}

// tick lets time pass in every cell and refreshes what follows from it.
func (c *Coordinator) tick(now time.Time) {
	c.table.Tick(now)
	c.checkCutOff(now)
	c.checkMajority()
	c.share(now)
	c.refreshVoters(now)
	c.lend.Tick(now, c.order(now))
	c.dispatch.Tick(now)
	if now.Sub(c.progressAt) >= progressInterval {
		c.progressAt = now
		c.lend.ReportProgress(now)
	}
	if now.Sub(c.countersAt) >= countersInterval {
		c.countersAt = now
		c.dispatch.TellCounters()
	}
	c.choosePolled()
	c.planEarly(now)
	c.pace(now)
	if took := time.Since(now); took > slowStep {
		c.log.WithField("took", took).Warn("A pass over the cells took long.")
	}
}

// pace lets the links rest that carry no work, as each router has a link to each other one.
func (c *Coordinator) pace(now time.Time) {
	if c.config.Timings.IdleHeartbeat == 0 || c.directory == nil {
		return
	}
	clear(c.dispatchers)
	clear(c.entries)
	c.lend.Dispatchers(c.dispatchers)
	c.dispatch.Entries(c.entries)
	c.links.SetCalm(c.isCandidate(now), c.dispatchers, c.entries)
}

// isCandidate tells whether this router is among the first that should dispatch some cell.
func (c *Coordinator) isCandidate(now time.Time) bool {
	return slices.ContainsFunc(c.directory.Cells(), func(id cell.ID) bool {
		order := c.table.Order(now, id)
		return slices.Contains(order[:min(candidates, len(order))], c.self.Host())
	})
}

// checkCutOff notes whether this router may send new work at all. What waits
// when it is cut off is refused at once, since nothing of it has run.
func (c *Coordinator) checkCutOff(now time.Time) {
	cutOff := c.table.CutOff(now) && !c.config.Registered
	if c.cutOff.Swap(cutOff) == cutOff {
		return
	}
	log := operator.Part(c.config.Log, operator.MemberPart)
	if !cutOff {
		log.Info("This router has contact with the platform or most routers.")
		return
	}
	log.Warn("This router is cut off and refuses new work.")
	c.lend.RefuseAll(now, result.CutOff)
}

// checkMajority notes when this router loses its links to most others. Streams that
// run go on; one that breaks is not resumed, as its place may be another's by then.
func (c *Coordinator) checkMajority() {
	has := c.table.HasMajority()
	if c.majority && !has {
		c.lend.MajorityLost()
	}
	c.majority = has
}

// ask passes a request's ask on, unless this router may send no new work.
func (c *Coordinator) ask(now time.Time, cmd ask) {
	if c.cutOff.Load() {
		cmd.Refuse(result.CutOff)
		return
	}
	c.lend.Ask(now, cmd.Ask)
}

// order returns the function that gives the order of a cell's dispatchers.
func (c *Coordinator) order(now time.Time) func(cell.ID) []cell.HostID {
	return func(id cell.ID) []cell.HostID { return c.table.Order(now, id) }
}

// drain handles what the last event left behind: this router's messages to
// itself and grants that nobody waits for, until nothing is left.
func (c *Coordinator) drain() {
	for {
		loopback := c.loopback
		c.loopback = nil
		decided, now := c.began, time.Now()
		c.began = now
		for _, message := range loopback {
			c.received(now, c.self, message, decided)
		}
		if !c.lend.HandBack(now) && len(c.loopback) == 0 {
			return
		}
	}
}

func (c *Coordinator) handleListed(now time.Time, cmd listed) {
	if cmd.err != nil {
		c.table.ListFailed(now)
		return
	}
	c.takeList(now, cmd.members)
	c.links.TellList(c.config.DataCentre, cmd.members)
}

// takeList takes a list of hosts that this router or a watcher has just read.
func (c *Coordinator) takeList(now time.Time, members []member.Member) {
	c.listedAt.Store(&now)
	c.table.Listed(now, members)
	c.refreshVoters(now)
	c.tellSigns()
	if members = c.table.Members(); !slices.Equal(members, c.members) {
		c.members = members
		c.mesh.SetPeers(peerAddresses(members))
		c.news.SetMembers(spreadMembers(members))
	}
}

// tellSigns tells all peers which hosts this router has signs of, and whose votes it does not count, if that has
// changed. The first message of signs also tells that this router has a configuration.
func (c *Coordinator) tellSigns() {
	if c.directory == nil || c.leaving {
		return
	}
	if waiting := c.table.Waiting(); !slices.Equal(waiting, c.waiting) {
		c.waiting = waiting
		c.links.OnAll(&wire.Waiting{Hosts: c.waiting})
	}
	if signs := c.table.Signs(); !slices.Equal(signs, c.signs) {
		c.signs = signs
		c.links.OnAll(&wire.Members{Hosts: c.signs})
	}
}

// refreshVoters tells the dispatchers whose stakes count, if that has changed.
func (c *Coordinator) refreshVoters(now time.Time) {
	hosts, total := c.table.Voters()
	if total == c.total && slices.Equal(hosts, c.voters) {
		return
	}
	c.voters = slices.Clone(hosts)
	c.total = total
	c.dispatch.SetVoters(now, c.voters, total)
	c.tellSigns()
}

func peerAddresses(members []member.Member) []peer.Address {
	addresses := make([]peer.Address, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, peer.Address{Host: m.Host, Addr: m.PeerAddress})
	}
	return addresses
}

func spreadMembers(members []member.Member) []spread.Member {
	var staying []spread.Member
	for _, m := range members {
		if !m.Leaving {
			staying = append(staying, spread.Member{Host: m.Host, DataCentre: m.DataCentre})
		}
	}
	return staying
}

// adopt puts a generation in force in all cells.
func (c *Coordinator) adopt(now time.Time, next *directory.Directory) {
	first := c.directory == nil
	c.directory = next
	c.lend.Adopt(now, next)
	c.dispatch.Adopt(now, next)
	c.lend.Reorder(now, c.order(now))
	if first {
		c.tellSigns()
	}
}

// depart tells all routers that this one leaves and takes itself out of the order.
func (c *Coordinator) depart(now time.Time) {
	c.leaving = true
	c.table.Leaving(now, c.self.Host())
	c.links.OnAll(&wire.Leaving{})
	c.dispatch.Leave()
	c.lend.PeerLeaving(now, c.self)
	c.lend.Reorder(now, c.order(now))
}
