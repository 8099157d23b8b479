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
	"ryelug/core/overlay"
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

// Capacity of the command queue, intervals and thresholds of the coordination goroutine.
const (
	commandQueueSize     = 4096                   // capacity in commands; senders wait while the queue is full
	tickInterval         = 50 * time.Millisecond  // time between two passes over all cells
	progressInterval     = time.Second            // time between two reports to dispatchers of the cost of running attempts
	countersInterval     = time.Second            // time between two rounds of team counters to entries
	peersInterval        = 200 * time.Millisecond // time between two choices of the hosts to link to; one that does not answer is replaced after a few
	dispatcherCandidates = 3                      // number of hosts at the head of a cell's dispatcher order whose links keep the full heartbeat; two of them may fail at the same time
	slowTickThreshold    = 200 * time.Millisecond // a tick that takes longer is logged
)

// Coordinator owns the table of fleet members and the state of all cells. Its methods may be called from any
// goroutine; one goroutine, started by Run, processes them.
type Coordinator struct {
	config           Config
	self             cell.RouterID
	log              logrus.FieldLogger
	commands         chan command                         // commands is the queue of requests from other goroutines.
	done             chan struct{}                        // done is closed when the coordination goroutine has returned.
	mesh             *peer.Mesh                           // mesh keeps the connections to other routers and delivers their frames.
	configListener   News                                 // configListener receives messages about the configuration, and changes of the links and of the hosts of the fleet.
	memberTable      *member.Table                        // memberTable knows the hosts of the fleet and whose stakes count.
	dispatch         *dispatching.Role                    // dispatch is the dispatcher role: it decides on the demands of entries that have joined a cell at this router.
	entryRole        *lending.Role                        // entryRole asks dispatchers for grants on behalf of requests of this router.
	overlay          *overlay.Table                       // overlay chooses the hosts to link to where the platform registers the endpoints; otherwise this router links to all.
	peers            []cell.HostID                        // peers is the hosts that overlay last chose.
	lastPeersAt      time.Time                            // lastPeersAt is when overlay last chose hosts.
	links            *links.Set                           // links holds the newest link to each router in each direction.
	selfMessages     []wire.Message                       // selfMessages queues messages between the two roles of this router, in place of a link.
	stepStart        time.Time                            // stepStart is when the current event, command or round of follow-ups began to be processed; selfMessages were sent then or later.
	directory        *directory.Directory                 // directory is the configuration in force; nil before the first one.
	members          []member.Member                      // members is the list last passed to mesh and configListener.
	voters           []cell.HostID                        // voters is the hosts whose stakes count, as last passed to dispatch.
	total            int                                  // total is the number of stakes, counted or not, as last passed to dispatch.
	knownHosts       []cell.HostID                        // knownHosts is the hosts listed or linked here, as last announced to peers; nil before the first configuration.
	uncountedHosts   []cell.HostID                        // uncountedHosts is the hosts whose stakes are not counted here, as last announced to peers.
	leaving          bool                                 // leaving is set once the shutdown has announced that this router leaves.
	hadMajority      bool                                 // hadMajority reports whether, at the last check, this router was linked to more than half of the listed hosts.
	cutOff           atomic.Bool                          // cutOff is set while this router may send no new work.
	isSweeper        atomic.Bool                          // isSweeper is set while this router is the one that deletes expired records of idempotency keys.
	fleetSize        int                                  // fleetSize is the number of routers last passed to Config.SetFleetSize.
	pollTargets      atomic.Pointer[[]dispatching.Target] // pollTargets is the endpoints whose load reports are needed here; nil before the first tick.
	busyNanos        atomic.Int64                         // busyNanos sums up, over all iterations of loop, the time from the last stepStart to the end, in nanoseconds.
	listedAt         atomic.Pointer[time.Time]            // listedAt is when a list of hosts last arrived, read by this router or passed on by a peer; nil if none has.
	pollNow          chan struct{}                        // pollNow signals that load reports are needed before the next regular poll.
	earlyPollTimer   *time.Timer                          // earlyPollTimer fires when a load report would let a dispatcher use more stakes at an endpoint that is still warming up.
	lastEarlySampled time.Time                            // lastEarlySampled is the earliest time at which reports of the last early poll can have been made.

	activeDispatchers map[cell.RouterID]bool // activeDispatchers is a buffer that updateIdleLinks reuses.
	activeEntries     map[cell.RouterID]bool // activeEntries is a buffer that updateIdleLinks reuses.

	lastProgressAt time.Time // lastProgressAt is when the cost of running attempts was last reported to dispatchers.
	lastCountersAt time.Time // lastCountersAt is when team counters were last sent to entries.
}

// New returns a Coordinator that does nothing until Run is called.
func New(config Config) *Coordinator {
	c := &Coordinator{
		config:   config,
		self:     config.Self,
		log:      operator.Part(config.Log, operator.RouterPart),
		commands: make(chan command, commandQueueSize),
		done:     make(chan struct{}),
		pollNow:  make(chan struct{}, 1),
		mesh:     peer.New(config.Peer),
		memberTable: member.New(member.Config{
			Self:        config.Self.Host(),
			Started:     time.Now(),
			Lag:         config.Timings.ListLag,
			CutOffAfter: config.Timings.CutOffAfter,
			Durable:     config.Registered,
		}),
		overlay:           overlay.New(overlay.Config{Self: config.Self.Host(), DataCentre: config.DataCentre}),
		links:             links.New(),
		activeDispatchers: make(map[cell.RouterID]bool),
		activeEntries:     make(map[cell.RouterID]bool),
		earlyPollTimer:    time.NewTimer(tickInterval),
	}
	c.earlyPollTimer.Stop()
	c.cutOff.Store(true) // Neither the platform nor a peer has been heard yet.
	c.dispatch = dispatching.New(dispatching.Config{
		Self:       config.Self,
		Log:        operator.Part(config.Log, operator.DispatchPart),
		StakeLease: config.Timings.StakeLease,
		GrantValid: config.Timings.GrantValid,
		Crossing:   config.Crossing,
		Order:      config.Order,
		Send:       c.sendToEntry,
		SetRollout: config.SetRollout,

		SaveSuspects: config.SaveSuspects,
	})
	c.entryRole = lending.New(lending.Config{
		Self:             config.Self,
		Started:          time.Now(),
		StakeLease:       config.Timings.StakeLease,
		GrantValid:       config.Timings.GrantValid,
		JoinWithoutStake: config.Registered,
		SelfDispatch:     config.LocalQueues,
		Send:             c.sendToDispatcher,
		Disconnect:       c.links.Disconnect,
		Standings:        config.Standings,
		Unserved:         config.Unserved,
	})
	return c
}

// Run processes events and commands and keeps the links until ctx ends. configListener receives messages about
// the configuration, and changes of the links and of the hosts of the fleet.
func (c *Coordinator) Run(ctx context.Context, configListener News) error {
	c.configListener = configListener
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.mesh.Run(ctx) })
	group.Go(func() error { return c.loop(ctx) })
	return group.Wait()
}

// loop processes one event, command or tick at a time until ctx ends or the mesh stops.
func (c *Coordinator) loop(ctx context.Context) error {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer c.earlyPollTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event, ok := <-c.mesh.Events():
			if !ok {
				return nil
			}
			c.stepStart = time.Now()
			c.handlePeerEvent(event)
		case cmd := <-c.commands:
			c.stepStart = time.Now()
			c.handle(c.stepStart, cmd)
		case <-ticker.C:
			c.stepStart = time.Now()
			c.tick(c.stepStart)
		case <-c.earlyPollTimer.C:
			c.stepStart = time.Now()
			c.startEarlyPoll(c.stepStart)
		}
		c.handleFollowUps()
		if c.dispatch.TakeReportRequested() {
			c.updatePollTargets()
			c.requestPollRound()
		}
		c.busyNanos.Add(int64(time.Since(c.stepStart)))
	}
}

// postUncancellable queues a command, waiting for room in the queue. It drops the command if the coordinator has
// ended.
func (c *Coordinator) postUncancellable(cmd command) {
	select {
	case c.commands <- cmd:
	case <-c.done:
	}
}

// post queues a command, waiting for room in the queue; it returns false if ctx ends first.
func (c *Coordinator) post(ctx context.Context, cmd command) bool {
	select {
	case c.commands <- cmd:
		return true
	case <-ctx.Done():
		return false
	}
}

// handle executes one command.
func (c *Coordinator) handle(now time.Time, cmd command) {
	switch cmd := cmd.(type) {
	case ask:
		c.ask(now, cmd)
	case withdraw:
		c.entryRole.Withdraw(now, cmd.Ask)
	case finish:
		c.entryRole.Finish(now, cmd.cell, cmd.end)
	case firstToken:
		c.entryRole.ReportFirstToken(now, cmd.cell, cmd.attempt, cmd.latency, cmd.load)
	case adopt:
		c.adopt(now, cmd.directory)
	case hostList:
		c.handleHostList(now, cmd)
	case cacheContents:
		c.handleCacheContents(now, cmd)
	case loadReport:
		c.handleLoadReport(now, cmd)
	case sendMessage:
		c.sendMessage(cmd)
	case depart:
		c.depart(now)
	case farewell:
		c.links.OnAll(&wire.Departed{})
	case inspect:
		cmd.reply <- c.view(now)
	}
}

// tick runs the periodic work of all cells: timeouts, reports to other routers, and the choice of endpoints to
// poll.
func (c *Coordinator) tick(now time.Time) {
	c.memberTable.Tick(now)
	c.updateCutOff(now)
	c.updateMajority()
	c.updateFleetShare(now)
	c.updateVoters(now)
	c.entryRole.Tick(now, c.dispatcherOrder(now))
	c.dispatch.Tick(now)
	if now.Sub(c.lastProgressAt) >= progressInterval {
		c.lastProgressAt = now
		c.entryRole.ReportProgress(now)
	}
	if now.Sub(c.lastCountersAt) >= countersInterval {
		c.lastCountersAt = now
		c.dispatch.TellCounters()
	}
	c.updatePollTargets()
	c.scheduleEarlyPoll(now)
	if now.Sub(c.lastPeersAt) >= peersInterval {
		c.updatePeers(now)
	}
	c.updateIdleLinks(now)
	if took := time.Since(now); took > slowTickThreshold {
		c.log.WithField("took", took).Warn("A periodic pass over the cells was slow.")
	}
}

// updateCutOff records whether this router may send new work. Requests that wait when it becomes cut off are
// refused at once, which is safe since none of them has run.
func (c *Coordinator) updateCutOff(now time.Time) {
	cutOff := c.memberTable.CutOff(now) && !c.config.Registered
	if c.cutOff.Swap(cutOff) == cutOff {
		return
	}
	log := operator.Part(c.config.Log, operator.MemberPart)
	if !cutOff {
		log.Info("This router has contact with the platform or most routers.")
		return
	}
	log.Warn("This router is cut off and refuses new work.")
	c.entryRole.RefuseAll(now, result.CutOff)
}

// updateMajority detects that this router has lost its links to most others. Streams in progress continue, but one
// that breaks is not resumed: another dispatcher may have granted its slot to another request by then. Where the platform
// registers the endpoints, a router has links to a few others only.
func (c *Coordinator) updateMajority() {
	if c.config.Registered {
		return
	}
	hasMajority := c.memberTable.HasMajority()
	if c.hadMajority && !hasMajority {
		c.entryRole.MajorityLost()
	}
	c.hadMajority = hasMajority
}

// ask passes an ask to the entry role, or refuses it while this router is cut off.
func (c *Coordinator) ask(now time.Time, cmd ask) {
	if c.cutOff.Load() {
		cmd.Refuse(result.CutOff)
		return
	}
	c.entryRole.Ask(now, cmd.Ask)
}

// dispatcherOrder returns a function that gives, for a cell, the hosts that should dispatch it, first choice
// first.
func (c *Coordinator) dispatcherOrder(now time.Time) func(cell.ID) []cell.HostID {
	return func(id cell.ID) []cell.HostID { return c.memberTable.Order(now, id) }
}

// handleFollowUps processes what the last event caused: messages between the roles of this router, and the return
// of grants that no request waits for. These can cause more of both, so it repeats until none are left.
func (c *Coordinator) handleFollowUps() {
	for {
		selfMessages := c.selfMessages
		c.selfMessages = nil
		echoed, now := c.stepStart, time.Now()
		c.stepStart = now
		for _, message := range selfMessages {
			c.deliver(now, c.self, message, echoed)
		}
		if !c.entryRole.HandBack(now) && len(c.selfMessages) == 0 {
			return
		}
	}
}

// handleHostList processes a read of the platform's list of hosts by this router, and passes the list on to its
// data centre.
func (c *Coordinator) handleHostList(now time.Time, cmd hostList) {
	if cmd.err != nil {
		c.memberTable.ListFailed(now)
		return
	}
	c.applyHostList(now, cmd.members)
	if !c.config.Registered { // Otherwise each router learns of the hosts by itself.
		c.links.TellList(c.config.DataCentre, cmd.members)
	}
}

// applyHostList updates the member table from a list of hosts that this router or a peer has just read.
func (c *Coordinator) applyHostList(now time.Time, members []member.Member) {
	c.listedAt.Store(&now)
	c.memberTable.Listed(now, members)
	c.updateVoters(now)
	c.announceHosts()
	if members = c.memberTable.Members(); !slices.Equal(members, c.members) {
		c.members = members
		c.setPeers(now)
		c.configListener.SetMembers(spreadMembers(members))
	}
}

// announceHosts tells all peers which hosts this router knows of and whose stakes it does not count, if either has
// changed. The first announcement also tells them that this router has a configuration.
func (c *Coordinator) announceHosts() {
	if c.directory == nil || c.leaving {
		return
	}
	if uncountedHosts := c.memberTable.Waiting(); !slices.Equal(uncountedHosts, c.uncountedHosts) {
		c.uncountedHosts = uncountedHosts
		c.links.OnAll(&wire.Waiting{Hosts: c.uncountedHosts})
	}
	if knownHosts := c.announcedHosts(); !slices.Equal(knownHosts, c.knownHosts) {
		c.knownHosts = knownHosts
		c.links.OnAll(&wire.Members{Hosts: c.knownHosts})
	}
}

// updateVoters passes the hosts whose stakes count to the dispatcher role, if they have changed.
func (c *Coordinator) updateVoters(now time.Time) {
	hosts, total := c.memberTable.Voters()
	if total == c.total && slices.Equal(hosts, c.voters) {
		return
	}
	c.voters = slices.Clone(hosts)
	c.total = total
	c.dispatch.SetVoters(now, c.voters, total)
	c.announceHosts()
}

// spreadMembers returns the hosts that are not leaving, among which configuration generations are spread.
func spreadMembers(members []member.Member) []spread.Member {
	var staying []spread.Member
	for _, m := range members {
		if !m.Leaving {
			staying = append(staying, spread.Member{Host: m.Host, DataCentre: m.DataCentre})
		}
	}
	return staying
}

// adopt puts a generation of the configuration into force in both roles.
func (c *Coordinator) adopt(now time.Time, next *directory.Directory) {
	first := c.directory == nil
	c.directory = next
	c.entryRole.Adopt(now, next)
	c.dispatch.Adopt(now, next)
	c.entryRole.Reorder(now, c.dispatcherOrder(now))
	if first {
		c.announceHosts()
	}
}

// depart announces to all routers that this one is leaving, and removes it from the dispatcher order of all cells.
func (c *Coordinator) depart(now time.Time) {
	c.leaving = true
	c.memberTable.Leaving(now, c.self.Host())
	c.links.OnAll(&wire.Leaving{})
	c.dispatch.Leave()
	c.entryRole.PeerLeaving(now, c.self)
	c.entryRole.Reorder(now, c.dispatcherOrder(now))
}
