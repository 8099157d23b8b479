package cell

import (
	"strings"
	"time"
)

// ID identifies a cell: the name of a pool, or of a slice of one.
type ID string

// RouterID identifies one run of a router process: its host's name, a slash and an incarnation.
type RouterID string

// HostID identifies a host by its name in the member list.
type HostID string

// Host returns the host that the router runs on.
func (r RouterID) Host() HostID {
	host, _, _ := strings.Cut(string(r), "/")
	return HostID(host)
}

// EndpointID is the name of an endpoint in the configuration.
type EndpointID string

// StartID identifies one run of an endpoint's process, from its start to its end, as the endpoint or the platform reports it.
type StartID string

// TeamID is the name of a team in the configuration.
type TeamID string

// NoTeam is the team that is charged for requests on public routes.
const NoTeam TeamID = "-"

// AttemptID identifies one attempt to serve a request. It is unique among the attempts of one RouterID.
type AttemptID uint64

// Session numbers the sessions between an entry router and the dispatchers of one cell. In each session the router asks
// one dispatcher for grants and may lend it its host's capacity stake. A session ends all sessions of the same router and
// cell with lower numbers.
type Session uint64

// Cost is an amount of service in cost units: tokens for engines, calls for services.
type Cost int64

// Part is a piece of a prompt. Requests that share a part give it the same ID.
type Part struct {
	ID     uint64 `msgpack:"i"`
	Tokens int    `msgpack:"t"` // Tokens is the length of the part in tokens.
}

// RejectedPart is a prompt part that crashes engines, so that requests with it are rejected.
type RejectedPart struct {
	ID   uint64        `msgpack:"i"`
	Left time.Duration `msgpack:"l"` // Left is how long it is rejected from now on.
}

// Prompt describes the input that a model engine reads for a request, and how much it may generate.
type Prompt struct {
	Parts  []Part `msgpack:"p"` // Parts lists the parts in the order of the prompt; the last one is not shared with other requests.
	Output int    `msgpack:"o"` // Output is the largest number of tokens in the answer.
}

// Tokens returns the length of the prompt in tokens.
func (p *Prompt) Tokens() int {
	tokens := 0
	for i := range p.Parts {
		tokens += p.Parts[i].Tokens
	}
	return tokens
}

// Cost returns the cost in tokens that a team is charged for a prompt and its longest answer. A generated token costs as
// much as two input tokens.
func (p *Prompt) Cost() Cost { return Cost(p.Tokens() + 2*p.Output) }

// Demand is an entry router's request for the grant of one attempt.
type Demand struct {
	Attempt  AttemptID  `msgpack:"a"`
	Team     TeamID     `msgpack:"t"`
	Estimate Cost       `msgpack:"c"`           // Estimate is the caller's estimate of the cost; zero if there is none.
	Avoid    EndpointID `msgpack:"v,omitempty"` // Avoid is an endpoint at which this request has just failed; empty if none.
	Moves    uint8      `msgpack:"m,omitempty"` // Moves is how often this request has moved from one cell of the pool to another.
	Class    string     `msgpack:"k,omitempty"` // Class names the kind of request, within which sizes are compared; empty if unknown.
	Prompt   Prompt     `msgpack:"p,omitempty"` // Prompt describes the prompt; it is empty for plain calls and if unknown.
	Deadline time.Time  `msgpack:"d,omitempty"` // Deadline is the deadline for the first token, or for the whole answer of a plain call; zero means none.
}

// Service is the cost of the requests that a cell has served for a team, in total since its dispatcher started.
type Service struct {
	Team TeamID
	Cost Cost
}

// Level is the state of a cell that its dispatcher sends to entry routers with grants, for their choice among the cells
// of a pool.
type Level struct {
	Lead    float64 // Lead is how far the virtual time of the cell is ahead of the other cells of the pool.
	HasRoom bool    // HasRoom is true if no request waits and an endpoint has a free slot.
}

// Status is the state of a cell that its dispatcher sends to the other cells of the pool.
type Status struct {
	Virtual float64 // Virtual is the virtual time: the least value of cost charged divided by share, over the teams with waiting requests.
	Waiting int     // Waiting is the number of requests that wait for a grant.
	Free    int     // Free is the number of grants that could be made now.
	Slots   int     // Slots is the sum of the warm limits of the open endpoints.
	Granted int     // Granted counts the grants since the last report of services to the other cells.
	Periods int     // Periods counts how often the backlog has gone from empty to non-empty.
}

// Grant permits an entry router to send one attempt to one endpoint.
type Grant struct {
	Attempt  AttemptID  `msgpack:"a"`
	Endpoint EndpointID `msgpack:"e"`
	Start    StartID    `msgpack:"s"`           // Start identifies the run of the endpoint's process for which the grant is valid.
	Fetch    EndpointID `msgpack:"f,omitempty"` // Fetch is the engine from whose cache the endpoint must copy shared parts of the prompt; empty if none.

	Predicted time.Duration `msgpack:"p,omitempty"` // Predicted is the time to the first token that was predicted for the endpoint; zero if there is no prediction.
}

// Flight is a granted attempt that is not known to have ended.
type Flight struct {
	Attempt  AttemptID  `msgpack:"a"`
	Team     TeamID     `msgpack:"t"`
	Endpoint EndpointID `msgpack:"e"`
	Start    StartID    `msgpack:"s"`
	Charged  Cost       `msgpack:"c"` // Charged is the cost charged to the team so far.
}

// Cached records that a model engine should have a part of a prompt in its cache, because it was sent a request with that
// part.
type Cached struct {
	Endpoint EndpointID
	Part     Part
	Age      time.Duration // Age is the time since the request with the part was sent to the endpoint.
}

// Outcome is the way in which an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Completed    Outcome = iota + 1 // Completed: the whole answer arrived.
	Failed                          // Failed: some of the request was sent, and the answer is missing or incomplete.
	Cancelled                       // Cancelled: the caller disconnected and the request at the endpoint was cancelled.
	Unused                          // Unused: the grant was returned and nothing was sent.
	Refused                         // Refused: the endpoint rejected the request before running it.
	StartChanged                    // StartChanged: the endpoint has restarted and nothing was sent.
	Unreached                       // Unreached: there was no connection to the endpoint and nothing was sent.
)

// EndpointLoad is the load that an endpoint reported in an answer. Its zero value means that the answer had none.
type EndpointLoad struct {
	Running uint16 // Running is the number of requests that run at the endpoint.
	Waiting uint16 // Waiting is the number of requests that wait there for a slot.
	Slots   uint16 // Slots is the number of requests that the endpoint runs at once.
	Pace    uint16 // Pace is how long work takes at the endpoint at that moment, in percent of the usual time.
}

// IsKnown reports whether the endpoint reported its load together with its pace.
func (l EndpointLoad) IsKnown() bool { return l.Pace > 0 }

// Progress reports the cost of an attempt so far.
type Progress struct {
	Attempt    AttemptID     `msgpack:"a"`
	Cost       Cost          `msgpack:"c"`
	FirstToken time.Duration `msgpack:"f,omitempty"` // FirstToken is the time from sending to the first token; zero except in the one report after the first token.
	Load       EndpointLoad  `msgpack:"l,omitempty"` // Load is the endpoint's load by the header of its answer.
}

// End reports that an attempt has ended, with its outcome and cost.
type End struct {
	Attempt    AttemptID     `msgpack:"a"`
	Outcome    Outcome       `msgpack:"o"`
	Cost       Cost          `msgpack:"c"`
	FirstToken time.Duration `msgpack:"f,omitempty"` // FirstToken is the time from sending to the first token; zero if unknown.
	IsBroken   bool          `msgpack:"b,omitempty"` // IsBroken is true if the connection closed before the answer was complete.
	Load       EndpointLoad  `msgpack:"l,omitempty"` // Load is the endpoint's load by the header of its answer.
	Took       time.Duration `msgpack:"d,omitempty"` // Took is the time from sending to the complete answer, or to the first event of a stream; zero unless the cell has a roll-out or Load is known with a whole answer.
	Bytes      uint32        `msgpack:"y,omitempty"` // Bytes is the size of the request's body and its answer; zero unless Load is known.
}

// Refusal tells an entry router that an attempt is rejected.
type Refusal struct {
	Attempt    AttemptID     `msgpack:"a"`
	Code       uint16        `msgpack:"r"` // Code is a result.Code.
	RetryAfter time.Duration `msgpack:"w"` // RetryAfter is the delay before a retry.
}

// Unserved counts a team's requests that an entry router rejected without asking the dispatcher.
type Unserved struct {
	Team  TeamID `msgpack:"t"`
	Count int    `msgpack:"n"` // Count is the number of requests.
	Cost  Cost   `msgpack:"c"`
}

// TeamCounter is a team's virtual counter: the cost charged to it divided by its share.
type TeamCounter struct {
	Team    TeamID  `msgpack:"t"`
	Service float64 `msgpack:"s"` // Service is the value of the counter.
}
