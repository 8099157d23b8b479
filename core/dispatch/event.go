package dispatch

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/engine"
	"ryelug/core/result"
	"ryelug/core/rollout"
	"ryelug/core/suspect"
)

// Event is an input to Dispatcher.Step; it is one of the pointer types of this package that have an event method.
type Event interface{ event() }

// TeamPolicy is the part of a team's configuration that a dispatcher needs: the weight of its share.
type TeamPolicy struct {
	Team  cell.TeamID
	Share int
}

// EndpointPolicy is the part of an endpoint's configuration that a dispatcher needs.
type EndpointPolicy struct {
	Endpoint  cell.EndpointID
	WarmLimit int  // WarmLimit is the most requests that run at the endpoint while it is warm.
	ColdLimit int  // ColdLimit is the most requests in flight while the endpoint is cold.
	Closed    bool // Closed is true if the endpoint gets no new requests, because it is leaving or its data centre is out of service.

	Start      cell.StartID // Start identifies the current run of the endpoint's process if the users' platform, which registers the endpoint, provides it; empty if load reports do.
	DataCentre string
	Version    string    // Version is that of the endpoint's software, which a roll-out goes by; empty if unknown.
	ColdUntil  time.Time // ColdUntil is the time at which the endpoint stops being cold, according to the users' platform.
}

// Policy is the event that replaces the configuration of the cell.
type Policy struct {
	Teams          []TeamPolicy
	Endpoints      []EndpointPolicy
	QueueLimit     int           // QueueLimit is the most waiting requests of one team; zero means no limit.
	QueueTimeout   time.Duration // QueueTimeout is the longest wait for a grant; zero means no limit.
	LongestRequest time.Duration // LongestRequest is the longest time that a request may run at an endpoint.
	LargestCost    cell.Cost     // LargestCost is the largest cost of one request.
	WarmUpRequests int           // WarmUpRequests is the number of completed requests after which a cold endpoint is warm.

	Engine    *engine.Profile // Engine describes the model engines of a pool whose endpoints are registered by the users' platform; nil if the endpoints are not model engines.
	ColdRate  int             // ColdRate is the most requests per second to a cold model engine; zero means no limit.
	ColdSpan  time.Duration   // ColdSpan is how long a model engine stays cold after its start.
	Gap       time.Duration   // Gap is the longest acceptable pause between two events of a stream; zero means no limit.
	FairRate  float64         // FairRate is the cost per second that is divided evenly among the teams (max-min fairness), whatever their shares; zero if unknown.
	Predicted bool            // Predicted selects endpoints by predicted time to the first token, for endpoints that reject what they can't handle.

	Rollout       *rollout.Order // Rollout is the operator's order to move the cell's traffic to another version; nil if there is none.
	RolloutBounds rollout.Bounds // RolloutBounds limits what a bad version may get.

	EntryDataCentres map[cell.HostID]string // EntryDataCentres maps the hosts of entry routers to their data centres, as far as known.

	Suspects *suspect.Record // Suspects is the store's record of prompt parts that crash engines; nil if there is none.
}

// Voters is the event that replaces the hosts whose capacity stakes count, and the total number of stakes.
// A dispatcher may use the part of each endpoint's limit that corresponds to the stakes it holds, divided by Total.
type Voters struct {
	Hosts []cell.HostID
	Total int // Total is the number of all stakes, at least len(Hosts).
}

// Join is the event that an entry router starts a session with this dispatcher. It brings the router's flights and
// the team counters that it received last.
type Join struct {
	Router       cell.RouterID
	Session      cell.Session
	Stake        bool                // Stake is true if the entry router also lends its host's capacity stake to this dispatcher.
	UncountedFor time.Duration       // UncountedFor is how long, up to now, no dispatcher has counted the stake or granted to the entry router.
	Flights      []cell.Flight       // Flights lists all granted attempts of the entry router that have not ended.
	Counters     []cell.TeamCounter  // Counters holds the team counters and, under the name VirtualTime, the virtual time.
	Cached       []cell.Cached       // Cached lists which model engines should have which prompt parts in their caches, the oldest first.
	Rejected     []cell.RejectedPart // Rejected lists the prompt parts that the entry router was told to reject.
}

// CacheReport is the event that a model engine reports which prompt parts it has in its cache.
type CacheReport struct {
	Endpoint cell.EndpointID
	Parts    []cell.Part
}

// Renew is the event that extends the lease of an entry router's capacity stake.
type Renew struct {
	Router     cell.RouterID
	Session    cell.Session
	StakeUntil time.Time // StakeUntil is when the lease expires, on this host's clock.
}

// Leave is the event that an entry router's session has ended. Its flights keep their slots until they are known to have ended.
type Leave struct {
	Router  cell.RouterID
	Session cell.Session
}

// Want is the event that an entry router asks for grants.
type Want struct {
	Router  cell.RouterID
	Session cell.Session
	Demands []cell.Demand
}

// Withdraw is the event that an entry router no longer asks for grants for some attempts.
type Withdraw struct {
	Router   cell.RouterID
	Session  cell.Session
	Attempts []cell.AttemptID
}

// Unserved is the event that reports the requests, by team, that an entry router rejected by itself, without asking
// this dispatcher.
type Unserved struct {
	Router  cell.RouterID
	Session cell.Session
	Teams   []cell.Unserved
}

// Progressed is the event that reports the cost so far of running attempts.
type Progressed struct {
	Router   cell.RouterID
	Session  cell.Session
	Progress []cell.Progress
}

// Ended is the event that attempts of an entry router have ended, no matter in which of its sessions they were granted.
type Ended struct {
	Router cell.RouterID
	Ends   []cell.End
}

// Load is the event of a load report by an endpoint.
type Load struct {
	Endpoint cell.EndpointID
	Start    cell.StartID
	Cold     bool      // Cold is true if the endpoint reports that it is in a cold start.
	InFlight int       // InFlight is the number of requests that the endpoint was running when the report was sampled.
	Sampled  time.Time // Sampled is the earliest time, on this host's clock, at which the report can have been sampled.

	Completed int // Completed is the number of requests that the endpoint reports as completed since its start; zero if unknown.
}

// Unreachable is the event that an endpoint did not answer a request for its load report.
type Unreachable struct {
	Endpoint cell.EndpointID
}

// Tick is the event that time has passed, for timeouts and expiry. It must be sent at least every 100 ms.
type Tick struct{}

func (*Policy) event()      {}
func (*Voters) event()      {}
func (*Join) event()        {}
func (*CacheReport) event() {}
func (*Renew) event()       {}
func (*Leave) event()       {}
func (*Want) event()        {}
func (*Withdraw) event()    {}
func (*Unserved) event()    {}
func (*Progressed) event()  {}
func (*Ended) event()       {}
func (*Load) event()        {}
func (*Unreachable) event() {}
func (*Tick) event()        {}

// Action is an output of Dispatcher.Step; it is valid until the next Step.
type Action interface{ action() }

// GrantTo is the action that sends a grant to an entry router.
type GrantTo struct {
	Router  cell.RouterID
	Session cell.Session
	Grant   cell.Grant
}

// RefuseTo is the action that tells an entry router that an attempt is rejected, and when it may be retried.
type RefuseTo struct {
	Router         cell.RouterID
	Session        cell.Session
	Attempt        cell.AttemptID
	Code           result.Code
	RetryAfter     time.Duration // RetryAfter is the delay before a retry.
	RefusalDetails RefusalDetails
}

// RefusalDetails holds the reasons for a rejection, for the log. It is zero if the dispatcher does not predict answer times.
type RefusalDetails struct {
	Team        cell.TeamID
	WithinShare bool          // WithinShare is true if the request is within its team's share.
	TimeLeft    time.Duration // TimeLeft is the time that was left until the deadline of the first token.
	Best        time.Duration // Best is the shortest predicted time to the first token; zero if there was no prediction.
	Waited      time.Duration // Waited is how long the request waited before it was rejected.
	Class       string        // Class names the kind of request, as in cell.Demand; empty if unknown.
	Tokens      int           // Tokens is the length of the prompt in tokens.

	CallRate float64       // CallRate is how many calls a second the endpoints answer at their present pace; zero unless they report one.
	CallTime time.Duration // CallTime is the least time to expect of a call with CallRate known, with the margin.

	Obstacles Obstacles
}

// Obstacles counts the open endpoints that could not accept a request, each under the first reason that was found.
type Obstacles struct {
	Slots       int // Slots counts endpoints without a free slot that the request may use.
	Memory      int // Memory counts endpoints without enough free memory for the request.
	Pauses      int // Pauses counts endpoints whose running streams would pause for too long.
	Time        int // Time counts endpoints that would answer after the deadline.
	Unavailable int // Unavailable counts endpoints that get no more requests for now, because they are failing or cold.
}

// TeamTally counts a team's requests by outcome since the previous tally.
type TeamTally struct {
	Team             cell.TeamID
	Asked            int           // Asked counts the requests for which a grant was asked.
	AskedCost        cell.Cost     // AskedCost is the cost of those requests.
	Granted          int           // Granted counts the grants.
	GrantedCost      cell.Cost     // GrantedCost is the cost of the granted requests.
	Beyond           int           // Beyond counts the grants that exceeded the team's share.
	RefusedOnArrival int           // RefusedOnArrival counts requests rejected on arrival.
	RefusedAfterWait int           // RefusedAfterWait counts requests rejected after a wait.
	LongAsked        int           // LongAsked counts the requests for a grant that were among the longest tenth of their class.
	LongGranted      int           // LongGranted counts the grants to requests among the longest tenth of their class.
	MostWaited       time.Duration // MostWaited is the longest wait for a grant or rejection.
	Largest          cell.Cost     // Largest is the largest cost of a request for which a grant was asked.

	Unserved        int       // Unserved counts requests that entry routers rejected without asking the dispatcher.
	UnservedCost    cell.Cost // UnservedCost is the cost of the requests that Unserved counts.
	ServiceFraction float64   // ServiceFraction is the fraction, 0 to 1, of its due service that the team got recently; 1 if nothing was due.
}

// Refused returns the number of rejected requests: on arrival, after a wait, and by entry routers.
func (t *TeamTally) Refused() int { return t.RefusedOnArrival + t.RefusedAfterWait + t.Unserved }

func (*GrantTo) action()  {}
func (*RefuseTo) action() {}
