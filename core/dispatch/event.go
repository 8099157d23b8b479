package dispatch

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/engine"
	"ryelug/core/result"
)

// Event is an input of a Dispatcher.
type Event interface{ event() }

// TeamPolicy is what the dispatcher must know of a team.
type TeamPolicy struct {
	Team  cell.TeamID
	Share int
}

// EndpointPolicy is what the dispatcher must know of an endpoint.
type EndpointPolicy struct {
	Endpoint  cell.EndpointID
	WarmLimit int
	ColdLimit int
	Closed    bool // Closed endpoints get no new work: they leave or their data centre is out.

	Start      cell.StartID // Start is the endpoint's present start where the platform tells it; empty where reports do.
	DataCentre string
	ColdUntil  time.Time // ColdUntil is when the endpoint, by the platform's word, is cold no more.
}

// Policy replaces the configuration of the cell.
type Policy struct {
	Teams          []TeamPolicy
	Endpoints      []EndpointPolicy
	QueueLimit     int
	QueueTimeout   time.Duration
	LongestRequest time.Duration
	LargestCost    cell.Cost
	WarmUpRequests int

	Engine    *engine.Profile // Engine describes the engines of a pool whose endpoints the platform registers; nil for plain services.
	ColdRate  int             // ColdRate is the most requests that a cold endpoint of such a pool bears in any second; zero is no limit.
	ColdSpan  time.Duration   // ColdSpan is how long an endpoint stays cold after its start.
	Gap       time.Duration   // Gap is the longest pause between events of a stream that is on time; zero is no limit.
	FairRate  float64         // FairRate is the cost a second that teams share evenly; zero when it is unknown.
	Predicted bool            // Predicted asks for placing by predicted times, as the endpoints refuse what they can't take.

	EntryDataCentres map[cell.HostID]string // EntryDataCentres says where the entries are, as far as it is known.
}

// Voters replaces the hosts whose stakes count, and the number that stakes are divided by.
type Voters struct {
	Hosts []cell.HostID
	Total int // Total is at least len(Hosts).
}

// Join tells that an entry starts a session, with all that it has in flight and the counters it saw last.
type Join struct {
	Router   cell.RouterID
	Session  cell.Session
	Stake    bool          // Stake is true if the entry lends its stake too.
	Unlent   time.Duration // Unlent is the time until now in which no dispatcher counted the stake or granted to the entry.
	Flights  []cell.Flight
	Counters []cell.TeamCounter
	Kept     []cell.Kept // Kept tells which engines should keep which parts, the oldest first.
}

// Holds tells which parts of prompts an engine keeps by its own word.
type Holds struct {
	Endpoint cell.EndpointID
	Parts    []cell.Part
}

// Renew tells until when, on this host's clock, an entry's stake may be counted on.
type Renew struct {
	Router     cell.RouterID
	Session    cell.Session
	StakeUntil time.Time
}

// Leave tells that a session has ended; its flights stay counted until they are known to have ended.
type Leave struct {
	Router  cell.RouterID
	Session cell.Session
}

// Want tells of requests that wait at an entry.
type Want struct {
	Router  cell.RouterID
	Session cell.Session
	Demands []cell.Demand
}

// Withdraw tells that attempts no longer wait.
type Withdraw struct {
	Router   cell.RouterID
	Session  cell.Session
	Attempts []cell.AttemptID
}

// Unserved tells what callers of teams asked an entry for that it did not ask for here.
type Unserved struct {
	Router  cell.RouterID
	Session cell.Session
	Teams   []cell.Unserved
}

// Progressed tells of the cost of running attempts.
type Progressed struct {
	Router   cell.RouterID
	Session  cell.Session
	Progress []cell.Progress
}

// Ended tells of attempts that have ended, under any session of the entry.
type Ended struct {
	Router cell.RouterID
	Ends   []cell.End
}

// Load is an endpoint's own report.
type Load struct {
	Endpoint cell.EndpointID
	Start    cell.StartID
	Cold     bool      // Cold is the endpoint's own word that it is in a cold start.
	InFlight int       // InFlight is the number of requests that the endpoint ran when sampled.
	Sampled  time.Time // Sampled is the earliest time, on this host's clock, that the report can stem from.

	Completed int // Completed is the work that the endpoint says it has done since its start; zero when unknown.
}

// Unreachable tells that an endpoint did not answer a request for its report.
type Unreachable struct {
	Endpoint cell.EndpointID
}

// Tick lets time pass; it is due at least every 100 ms.
type Tick struct{}

func (*Policy) event()      {}
func (*Voters) event()      {}
func (*Join) event()        {}
func (*Holds) event()       {}
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

// Action is an output of a Dispatcher; it is valid until the next Step.
type Action interface{ action() }

// GrantTo gives a grant to an entry.
type GrantTo struct {
	Router  cell.RouterID
	Session cell.Session
	Grant   cell.Grant
}

// RefuseTo tells an entry that an attempt gets no grant, and when to come back.
type RefuseTo struct {
	Router     cell.RouterID
	Session    cell.Session
	Attempt    cell.AttemptID
	Code       result.Code
	RetryAfter time.Duration
	Grounds    Grounds
}

// Grounds is what a refusal rests on, for the log; zero where the dispatcher does not predict.
type Grounds struct {
	Team   cell.TeamID
	Within bool          // Within tells that the request lies within its team's share.
	Left   time.Duration // Left is the time until the first token is late.
	Best   time.Duration // Best is the least time to the first token that was predicted; zero if nothing was.
	Waited time.Duration
	Class  string
	Tokens int // Tokens is the length of the prompt.

	Obstacles Obstacles
}

// Obstacles counts the open endpoints that could not take a request, by what stood in the way first.
type Obstacles struct {
	Slots  int // Slots counts those whose slots are in use, as far as they are given to the request.
	Memory int
	Pauses int // Pauses counts those whose other streams would pause for too long.
	Time   int // Time counts those that would answer too late.
	Rest   int // Rest counts those that get no more for now, as they fail or are cold.
}

// TeamTally is what became of a team's requests since the last tally.
type TeamTally struct {
	Team        cell.TeamID
	Asked       int
	AskedCost   cell.Cost
	Granted     int
	GrantedCost cell.Cost
	Beyond      int           // Beyond counts the grants beyond the team's share.
	AtOnce      int           // AtOnce counts refusals when the request came,
	Later       int           // Later those after a wait.
	LongAsked   int           // LongAsked counts the longest tenth of their kinds.
	LongGranted int           // LongGranted counts those of them that were granted.
	MostWaited  time.Duration // MostWaited is the longest wait for a decision.
	Largest     cell.Cost     // Largest is the cost of the largest request that was asked for.

	Unserved     int // Unserved counts requests that entries refused by themselves.
	UnservedCost cell.Cost
	Part         float64 // Part is the part of what it is owed that the team got of late: 1 if all, or if nothing is owed.
}

// Refused returns the number of requests that were refused.
func (t *TeamTally) Refused() int { return t.AtOnce + t.Later + t.Unserved }

func (*GrantTo) action()  {}
func (*RefuseTo) action() {}
