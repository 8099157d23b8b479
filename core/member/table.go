package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"ryelug/core/cell"
)

// Defaults of the fields of Config with the same names.
const (
	DefaultLag         = 2 * time.Second
	DefaultShrinkDelay = 10 * time.Second
	DefaultDamping     = 5 * time.Second
	DefaultCutOffAfter = 2 * time.Second

	// linkLossGrace is how long a host keeps its place in the order after its link is lost. A router skips
	// the host during that time, and returns to it at once if the link comes back.
	linkLossGrace = time.Second

	// maxFalseOmissions is how many running hosts the list may lack by mistake at a time. A list that lacks no
	// more of the linked hosts than this is always accepted: routers that are linked to other hosts may accept it and
	// forget the missing hosts, and a router that rejected it would go on counting their votes.
	maxFalseOmissions = 1

	// selfStartDelay is added to the start time that this router records for its own process, because the other routers
	// learn of the start later.
	selfStartDelay = time.Second

	// departureDelay bounds the delay with which other hosts learn of a host's departure; some may not learn of it at all.
	departureDelay = time.Second
)

// Member is one host in the platform's list.
type Member struct {
	Host        cell.HostID    // Host names the host.
	PeerAddress netip.AddrPort // PeerAddress is where the router of the host accepts links from its peers.
	DataCentre  string         // DataCentre names the data centre of the host.
	Leaving     bool           // Leaving is true if the list says that the router is shutting down.
	Processor   int            // Processor is the router's part of its host's processor, in thousandths of a core; zero if unknown.
}

// Config configures a Table. Zero durations are replaced by the defaults.
type Config struct {
	Self        cell.HostID   // Self is the host that this router runs on.
	Started     time.Time     // Started is when this process started.
	Lag         time.Duration // Lag bounds the age that a list has when the next one replaces it; it includes the interval between two reads.
	ShrinkDelay time.Duration // ShrinkDelay is how long a host counts after it was last seen; it must exceed CutOffAfter plus Lag.
	Damping     time.Duration // Damping is how long a link must stay up after repeated losses, and how long a process must run, before the host can come first in an order.
	Durable     bool          // Durable says that the list never loses a host by mistake, so votes also count while this router is cut off.
	CutOffAfter time.Duration // CutOffAfter is how long a router may go on without a fresh list and without links to most of its peers.
}

// Table holds the membership as one router sees it. It is not safe for concurrent use.
type Table struct {
	conf         Config
	hosts        map[cell.HostID]*record       // hosts holds every host that is known, this one included.
	reported     map[cell.HostID][]cell.HostID // reported maps a linked host to the hosts that it has in its list or is linked to.
	uncounted    map[cell.HostID][]cell.HostID // uncounted maps a linked host to the hosts, sorted by name, whose stakes that linked host does not count.
	selfListedAt time.Time                     // selfListedAt is the time of the last accepted list that contained this host.
	readAt       time.Time                     // readAt is the time of the last accepted list.
	majorityAt   time.Time                     // majorityAt is the last time at which HasMajority was true.
	orders       map[cell.ID][]cell.HostID     // orders caches the results of Order; it is emptied when liveness or the list changes.
	candidates   map[cell.ID][]cell.HostID     // candidates caches the results of Candidates; it is emptied when the list changes or a host begins or ceases to leave.
	voters       []cell.HostID                 // voters holds the hosts whose stakes count, sorted by name.
	total        int                           // total is the number of parts that each endpoint limit is divided into.
	settled      time.Time                     // settled is when recompute last ran.

	// suspended is true while no host's stake counts here, because other routers may have forgotten hosts that this one still remembers.
	suspended     bool
	contactBefore time.Time // contactBefore is the value that lastContact had when suspended last became true.
}

// record holds what is known of one host.
type record struct {
	member    Member    // member is the host's last entry in the list.
	listed    bool      // listed is true if the last accepted list contains the host.
	votesAt   time.Time // votesAt is when the host's stake begins to count if it stays listed until then.
	voter     bool      // voter is true while the host's stake counts: it is listed, has not departed and is past votesAt.
	reported  int       // reported is the number of linked hosts that report this host as listed or linked there.
	uncertain bool      // uncertain is true if other routers may have forgotten the host since its vote was last known to count.
	seen      bool      // seen is true if the host was listed, linked or reported when recompute last ran.
	lastSeen  time.Time // lastSeen is when recompute last found that the host was seen or had ceased to be seen since the run before; for a host never seen, when recompute first ran with it.
	up        bool      // up is true while this router is linked to the host; it is always true for its own host.
	upAt      time.Time // upAt is when the link last came up.
	downAt    time.Time // downAt is when the link was last lost; zero if it never was.
	damped    bool      // damped is true if the link was lost repeatedly and has not stayed up for Config.Damping since.
	leaving   bool      // leaving is true if the host itself has said that it shuts down.

	departedAt time.Time // departedAt is when the host said that it has nothing in flight and lends no stake; zero if it has not.
	live       bool      // live is true if the host can dispatch: it is not leaving, and it is this host or has an undamped link that is up or was lost within linkLossGrace.
	startedAt  time.Time // startedAt is when the host's router process started.
	settled    bool      // settled is true if the process has run for Config.Damping and may take over cells.
}

// New returns a Table that knows only its own host.
func New(conf Config) *Table {
	conf.Lag = cmp.Or(conf.Lag, DefaultLag)
	conf.ShrinkDelay = cmp.Or(conf.ShrinkDelay, DefaultShrinkDelay)
	conf.Damping = cmp.Or(conf.Damping, DefaultDamping)
	conf.CutOffAfter = cmp.Or(conf.CutOffAfter, DefaultCutOffAfter)
	t := &Table{
		conf:      conf,
		hosts:     make(map[cell.HostID]*record),
		reported:  make(map[cell.HostID][]cell.HostID),
		uncounted: make(map[cell.HostID][]cell.HostID),
		orders:    make(map[cell.ID][]cell.HostID),

		candidates: make(map[cell.ID][]cell.HostID),
	}
	t.record(conf.Self).up = true
	t.record(conf.Self).startedAt = conf.Started.Add(selfStartDelay)
	return t
}

// Listed records a successful read of the platform's list. A list that lacks more than one, and
// more than half, of the linked hosts is rejected and treated as a failed read.
func (t *Table) Listed(now time.Time, members []Member) {
	present := make(map[cell.HostID]bool, len(members))
	for _, m := range members {
		present[m.Host] = true
	}
	if !t.isPlausible(present) {
		t.ListFailed(now)
		return
	}
	changed := false
	for _, m := range members {
		r := t.record(m.Host)
		changed = changed || r.member != m || !r.listed
		r.member = m
		if !r.listed {
			r.listed = true
			r.votesAt = now.Add(t.voteDelay(m.Host))
		}
	}
	for host, r := range t.hosts {
		if !present[host] {
			changed = changed || r.listed
			r.listed = false
		}
	}
	if present[t.conf.Self] {
		t.selfListedAt = now
	}
	t.readAt = now
	if changed {
		clear(t.orders)
		clear(t.candidates)
	}
	t.recompute(now)
}

// isPlausible reports whether a list is accepted: it lacks at most maxFalseOmissions of the linked hosts, or at most half
// of them, or it is the first list.
func (t *Table) isPlausible(present map[cell.HostID]bool) bool {
	linked, missing := 0, 0
	for host, r := range t.hosts {
		if !r.up || host == t.conf.Self {
			continue
		}
		linked++
		if !present[host] {
			missing++
		}
	}
	return t.readAt.IsZero() || missing <= maxFalseOmissions || 2*missing <= linked
}

// voteDelay returns how long a host must be listed before it votes. After that time every
// router has either read a list that contains the host or, being cut off, stopped taking
// new work. The hosts of the first list are assumed to have been listed for some time,
// except this one, which may itself be new.
func (t *Table) voteDelay(host cell.HostID) time.Duration {
	if t.readAt.IsZero() && host != t.conf.Self {
		return t.conf.Lag
	}
	return t.conf.Lag + t.conf.CutOffAfter
}

// ListFailed records a failed read: the last accepted list stays in force.
func (t *Table) ListFailed(now time.Time) { t.recompute(now) }

// Tick updates the table to the given time; it must be called a few times a second.
func (t *Table) Tick(now time.Time) { t.recompute(now) }

// Up records that there is a link to the host.
func (t *Table) Up(now time.Time, host cell.HostID) {
	r := t.record(host)
	if !r.up {
		r.up = true
		r.upAt = now
		t.setLeaving(r, false)
		t.readmit(now, r)
	}
	t.recompute(now)
}

// Started records when the router process of a host started, by this host's clock.
func (t *Table) Started(now time.Time, host cell.HostID, at time.Time) {
	t.record(host).startedAt = at
	t.recompute(now)
}

// Departed records that a host has announced that it has nothing in flight and lends no
// stake. The host stops counting at once, even if the list still contains it.
func (t *Table) Departed(now time.Time, host cell.HostID) {
	r := t.record(host)
	t.setLeaving(r, true)
	r.departedAt = now
	t.recompute(now)
}

// readmit counts a departed host again. It votes after the delay of a new host, when
// every other router, including those that did not learn of the return, counts it too.
func (t *Table) readmit(now time.Time, r *record) {
	if r.departedAt.IsZero() {
		return
	}
	r.departedAt = time.Time{}
	r.votesAt = now.Add(t.conf.Lag + t.conf.CutOffAfter)
}

// Down records that there is no longer a link to the host.
func (t *Table) Down(now time.Time, host cell.HostID) {
	if r := t.hosts[host]; r != nil && host != t.conf.Self {
		r.damped = r.damped || !r.downAt.IsZero() && now.Sub(r.downAt) < 2*t.conf.Damping
		r.up = false
		r.downAt = now
	}
	t.setReport(host, nil)
	delete(t.uncounted, host)
	t.recompute(now)
}

// Leaving records that the host has announced its shutdown.
func (t *Table) Leaving(now time.Time, host cell.HostID) {
	t.setLeaving(t.record(host), true)
	t.recompute(now)
}

func (t *Table) setLeaving(r *record, leaving bool) {
	if r.leaving != leaving {
		r.leaving = leaving
		clear(t.candidates)
	}
}

// RecordMembers records the result of SeenHosts on a linked host: the hosts that it has in its list or is linked to.
func (t *Table) RecordMembers(now time.Time, from cell.HostID, hosts []cell.HostID) {
	t.setReport(from, hosts)
	t.confirmVotes(now, from)
	t.recompute(now)
}

// ReporterLost records that no link to the host is left, in either direction, so that what it reported counts no more.
func (t *Table) ReporterLost(now time.Time, host cell.HostID) {
	t.setReport(host, nil)
	delete(t.uncounted, host)
	t.recompute(now)
}

// setReport replaces the hosts that a linked host reports.
func (t *Table) setReport(from cell.HostID, hosts []cell.HostID) {
	for _, host := range t.reported[from] {
		t.record(host).reported--
	}
	delete(t.reported, from)
	if len(hosts) == 0 {
		return
	}
	t.reported[from] = slices.Clone(hosts)
	for _, host := range hosts {
		t.record(host).reported++
	}
}

// RecordWaiting records the result of Waiting on a linked host: the hosts whose stakes it does not count. If a
// linked host reports new results of both SeenHosts and Waiting, RecordWaiting must be called before RecordMembers. Otherwise RecordMembers
// could assume that the linked host counts a stake that it does not count.
func (t *Table) RecordWaiting(now time.Time, from cell.HostID, hosts []cell.HostID) {
	t.uncounted[from] = slices.Sorted(slices.Values(hosts))
	t.confirmVotes(now, from)
	t.recompute(now)
}

// confirmVotes lets the stake of each uncertain host count again if the linked host counts it.
func (t *Table) confirmVotes(now time.Time, from cell.HostID) {
	if t.suspended {
		return
	}
	for _, host := range t.reported[from] {
		r := t.record(host)
		if _, waits := slices.BinarySearch(t.uncounted[from], host); r.uncertain && !waits {
			r.uncertain, r.votesAt = false, now
		}
	}
}

// Waiting returns the hosts whose stakes this router does not count. Its peers pass them to RecordWaiting. It returns nil
// if Config.Durable is set: the peers need no confirmation then, because no stake becomes uncertain after a cut-off.
func (t *Table) Waiting() []cell.HostID {
	if t.conf.Durable {
		return nil
	}
	return t.collect(func(r *record) bool { return !t.voteCounts(r) })
}

// voteCounts reports whether the host's stake counts at this router now.
func (t *Table) voteCounts(r *record) bool { return r.voter && !t.suspended }

// SeenHosts returns the hosts that this router has in its list or is linked to. Its peers pass them to RecordMembers.
func (t *Table) SeenHosts() []cell.HostID {
	return t.collect(func(r *record) bool { return r.listed || r.up })
}

// Members returns the hosts that the platform has listed, sorted by name: those of
// the last list, and those missing from it that still count.
func (t *Table) Members() []Member {
	hosts := t.collect(func(r *record) bool { return r.listed || r.member.PeerAddress.IsValid() })
	members := make([]Member, 0, len(hosts))
	for _, host := range hosts {
		members = append(members, t.hosts[host].member)
	}
	return members
}

// Voters returns the hosts whose stakes count, sorted by name, and the number of parts
// that each endpoint limit is divided into. That number grows as soon as a host is seen,
// and shrinks only when a list is read more than ShrinkDelay after the host was last
// seen, or when the host has departed. A new host votes only once every other router
// knows of it. The caller must not change the hosts.
func (t *Table) Voters() (hosts []cell.HostID, total int) {
	return t.voters, t.total
}

// CutOff reports whether this router has, for more than CutOffAfter, neither read a list
// that contains its own host nor been linked to more than half of the members.
func (t *Table) CutOff(now time.Time) bool {
	return now.Sub(t.lastContact()) > t.conf.CutOffAfter
}

// lastContact returns the last time at which a list contained this host or most members were linked.
func (t *Table) lastContact() time.Time {
	if t.majorityAt.After(t.selfListedAt) {
		return t.majorityAt
	}
	return t.selfListedAt
}

func (t *Table) record(host cell.HostID) *record {
	r := t.hosts[host]
	if r == nil {
		r = &record{member: Member{Host: host}}
		t.hosts[host] = r
		clear(t.orders)
	}
	return r
}

func (t *Table) collect(want func(*record) bool) []cell.HostID {
	var hosts []cell.HostID
	for host, r := range t.hosts {
		if want(r) {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, cmp.Compare[cell.HostID])
	return hosts
}
