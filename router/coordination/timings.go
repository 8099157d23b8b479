package coordination

import "time"

// Timings holds the intervals and timeouts of coordination. All routers of an environment must use the same
// values.
type Timings struct {
	Heartbeat       time.Duration // Heartbeat is the longest silence on a link before a heartbeat is sent.
	IdleHeartbeat   time.Duration // IdleHeartbeat replaces Heartbeat on links that carry no work; zero means Heartbeat.
	LinkSilent      time.Duration // LinkSilent is the silence after which a link is closed and dialled again.
	DialTimeout     time.Duration // DialTimeout limits the time to connect to another router, handshake included.
	StakeLease      time.Duration // StakeLease is how long a dispatcher counts an entry's stake (its vote), from the time at which the dispatcher sent the newest frame that the entry has acknowledged.
	GrantValid      time.Duration // GrantValid is the age up to which an entry may use a grant.
	LoadPoll        time.Duration // LoadPoll is the interval at which dispatchers poll endpoints for load reports.
	LoadTimeout     time.Duration // LoadTimeout limits one poll of an endpoint.
	ReportLag       time.Duration // ReportLag is how old a load report can be when the endpoint sends it.
	ListLag         time.Duration // ListLag is how far the platform's list of hosts can be behind.
	CutOffAfter     time.Duration // CutOffAfter is the time without a fresh host list and without links to most routers after which a router is cut off.
	HostsPoll       time.Duration // HostsPoll is the interval of reading the list of hosts.
	PlatformTimeout time.Duration // PlatformTimeout limits one read of the list of hosts.
}

// DefaultTimings returns the timings that apply where the settings give none.
func DefaultTimings() Timings {
	return Timings{
		Heartbeat:       250 * time.Millisecond,
		LinkSilent:      750 * time.Millisecond,
		DialTimeout:     time.Second,
		StakeLease:      800 * time.Millisecond,
		GrantValid:      400 * time.Millisecond,
		LoadPoll:        250 * time.Millisecond,
		LoadTimeout:     time.Second,
		ReportLag:       500 * time.Millisecond,
		ListLag:         2 * time.Second,
		CutOffAfter:     2 * time.Second,
		HostsPoll:       500 * time.Millisecond,
		PlatformTimeout: 2 * time.Second,
	}
}
