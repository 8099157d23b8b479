package cell

import (
	"strings"
	"time"
)

// ID names a cell; today it is the name of a pool.
type ID string

// RouterID names one life of a router process: its host's name, a slash and an incarnation.
type RouterID string

// HostID names a host of the member list.
type HostID string

// Host returns the host that the router runs on.
func (r RouterID) Host() HostID {
	host, _, _ := strings.Cut(string(r), "/")
	return HostID(host)
}

// EndpointID names an endpoint as the configuration does.
type EndpointID string

// StartID names one start of an endpoint's process, as the endpoint reports it.
type StartID string

// TeamID names a team as the configuration does.
type TeamID string

// NoTeam is charged for requests on public routes.
const NoTeam TeamID = "-"

// AttemptID numbers one attempt at one request, unique within a RouterID.
type AttemptID uint64

// Session numbers one lending of an entry's stake; a higher one voids all lower ones of the same entry and cell.
type Session uint64

// Cost is an amount of service in cost units: tokens for engines, calls for services.
type Cost int64

// Part is a piece of a prompt; requests that share a part name it alike.
type Part struct {
	ID     uint64 `msgpack:"i"`
	Tokens int    `msgpack:"t"`
}

// Prompt is what an engine reads for a request, and how much it may generate.
type Prompt struct {
	Parts  []Part `msgpack:"p"` // Parts are in the order of the prompt; the last one is the request's own.
	Output int    `msgpack:"o"` // Output is the most tokens of the answer.
}

// Tokens returns the length of the prompt.
func (p *Prompt) Tokens() int {
	tokens := 0
	for i := range p.Parts {
		tokens += p.Parts[i].Tokens
	}
	return tokens
}

// Cost returns what a team is charged: a generated token costs as much as two that are read.
func (p *Prompt) Cost() Cost { return Cost(p.Tokens() + 2*p.Output) }

// Demand asks for one grant.
type Demand struct {
	Attempt  AttemptID  `msgpack:"a"`
	Team     TeamID     `msgpack:"t"`
	Estimate Cost       `msgpack:"c"`           // Estimate is the caller's hint; zero when there is none.
	Avoid    EndpointID `msgpack:"v,omitempty"` // Avoid is an endpoint that has just failed this request.
	Moves    uint8      `msgpack:"m,omitempty"` // Moves is how often a cell of the pool has passed this request on to another.
	Class    string     `msgpack:"k,omitempty"` // Class names requests of one kind, whose sizes are compared; empty where it is unknown.
	Prompt   Prompt     `msgpack:"p,omitempty"` // Prompt is empty for plain calls and where it is unknown.
	Due      time.Time  `msgpack:"d,omitempty"` // Due is when the first token, or the whole answer of a plain call, is late; zero when it never is.
}

// Service is what a cell has served a team, over the life of its dispatcher.
type Service struct {
	Team TeamID
	Cost Cost
}

// Level is what the dispatcher of a cell tells entries with its grants.
type Level struct {
	Lead    float64 // Lead is how far the cell is ahead of the other cells of the pool in virtual time.
	HasRoom bool    // HasRoom is true if no request waits and a slot is free.
}

// Standing is what the dispatcher of a cell tells the other cells of its pool.
type Standing struct {
	Virtual float64 // Virtual is the least counter of the backlogged teams.
	Waiting int
	Free    int // Free is the number of grants that could go out at once.
	Slots   int // Slots is the sum of the warm limits of the open endpoints.
	Granted int // Granted counts the grants since the last telling.
	Periods int // Periods counts the times at which requests began to wait while none did.
}

// Grant permits one attempt at one endpoint.
type Grant struct {
	Attempt  AttemptID  `msgpack:"a"`
	Endpoint EndpointID `msgpack:"e"`
	Start    StartID    `msgpack:"s"`           // Start is the endpoint start that the grant holds for.
	Fetch    EndpointID `msgpack:"f,omitempty"` // Fetch is an engine that keeps shared parts of the prompt, which the endpoint is to copy from there.

	Predicted time.Duration `msgpack:"p,omitempty"` // Predicted is the time to the first token that the endpoint was chosen for; zero where nothing is predicted.
}

// Flight is a granted attempt that has not been seen to end.
type Flight struct {
	Attempt  AttemptID  `msgpack:"a"`
	Team     TeamID     `msgpack:"t"`
	Endpoint EndpointID `msgpack:"e"`
	Start    StartID    `msgpack:"s"`
	Charged  Cost       `msgpack:"c"` // Charged is the cost counted so far.
}

// Kept tells that a request which read a part of a prompt was sent to an engine, which should keep it.
type Kept struct {
	Endpoint EndpointID
	Part     Part
	Age      time.Duration // Age is how long ago that was.
}

// Outcome says how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Completed    Outcome = iota + 1 // Completed: the whole answer arrived.
	Failed                          // Failed: bytes were sent and the answer is missing or broken.
	Cancelled                       // Cancelled: the caller left and the endpoint was told.
	Unused                          // Unused: the grant was handed back and nothing was sent.
	Refused                         // Refused: the endpoint refused before running.
	StartChanged                    // StartChanged: the endpoint has restarted and nothing was sent.
	Unreached                       // Unreached: there was no connection to the endpoint and nothing was sent.
)

// Progress reports the cost of an attempt so far.
type Progress struct {
	Attempt    AttemptID     `msgpack:"a"`
	Cost       Cost          `msgpack:"c"`
	FirstToken time.Duration `msgpack:"f,omitempty"` // FirstToken is set in the one report of an attempt's first token: the time since the send.
}

// End reports that an attempt has ended and what it cost.
type End struct {
	Attempt    AttemptID     `msgpack:"a"`
	Outcome    Outcome       `msgpack:"o"`
	Cost       Cost          `msgpack:"c"`
	FirstToken time.Duration `msgpack:"f,omitempty"` // FirstToken is the time from send to first token; zero when unknown.
}

// Refusal tells an entry that an attempt gets no grant.
type Refusal struct {
	Attempt    AttemptID     `msgpack:"a"`
	Code       uint16        `msgpack:"r"` // Code is a result.Code.
	RetryAfter time.Duration `msgpack:"w"`
}

// Unserved is what callers of a team asked an entry for that its dispatcher was not asked for.
type Unserved struct {
	Team  TeamID `msgpack:"t"`
	Count int    `msgpack:"n"` // Count is the number of requests.
	Cost  Cost   `msgpack:"c"`
}

// TeamCounter is a team's virtual service: cost divided by share.
type TeamCounter struct {
	Team    TeamID  `msgpack:"t"`
	Service float64 `msgpack:"s"`
}
