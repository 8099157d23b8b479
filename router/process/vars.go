package process

import (
	"context"
	"time"

	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/dispatch"
	"ryelug/core/entry"
	"ryelug/core/result"
	"ryelug/io/operator"
	"ryelug/io/stamped"
	users "ryelug/platform"
	"ryelug/router/coordination"
	"ryelug/router/request"
)

// viewTimeout is the longest wait for the coordination state; after it, metrics are shown without that state, so that
// a busy router still shows its counters.
const viewTimeout = time.Second

// retryReasons lists the reasons whose retry counters are shown from the start, with the value zero.
var retryReasons = []entry.Reason{
	entry.GrantExpired, entry.EndpointRestarted, entry.EndpointUnreachable, entry.EndpointBusy,
	entry.AnswerMissing, entry.AnswerLate, entry.StreamResumed, entry.EndpointFailed, entry.EndpointClosed,
}

// counter records the outcomes, retries and latencies of requests in the metrics.
type counter struct {
	vars      *operator.Vars
	latencies *latencies
}

// Refused implements request.Counter. It counts a finished request by its result code.
func (c *counter) Refused(code result.Code) {
	c.vars.Finished(code)
}

// Retried implements request.Counter. It counts a retry by its reason.
func (c *counter) Retried(reason entry.Reason) {
	c.vars.Add(operator.Retries, string(reason), 1)
}

// Completed implements request.Counter. It counts a request as OK and records its latency.
func (c *counter) Completed(latency request.Latency) {
	c.latencies.add(latency)
	c.vars.Finished(result.OK)
}

// Abandoned implements request.Counter. It counts a request as abandoned by its caller.
func (c *counter) Abandoned() {
	c.vars.Add(operator.Requests, "abandoned", 1)
}

// publishVars registers the metrics that the operators' server shows.
func (p *Process) publishVars() {
	for _, reason := range retryReasons {
		p.vars.Add(operator.Retries, string(reason), 0)
	}
	for name, read := range p.gauges() {
		p.vars.Gauge(name, read)
	}
}

// gauges returns the metrics that are computed at each read, by name.
func (p *Process) gauges() map[string]func() any {
	gauges := map[string]func() any{
		"latency":                    func() any { return p.latencies.read() },
		"log_dropped":                func() any { return p.dropped() },
		"handed_over":                func() any { return p.router.HandedOver() },
		"unanswered":                 func() any { return p.router.Unanswered() },
		"answers_long":               func() any { return p.endpoints.OversizedAnswers() },
		"answers_malformed":          func() any { return p.endpoints.MalformedAnswers() },
		"answers_leaving":            func() any { return p.endpoints.LeavingAnswers() },
		"answers_resting":            func() any { return p.endpoints.RestingAnswers() },
		"health":                     func() any { return p.Health() },
		"platform_calls":             func() any { return p.platformCalls() },
		"platform_answers_malformed": func() any { return p.malformedPlatformAnswers() },
		"peers":                      func() any { return p.peers() },
		"cells":                      func() any { return p.cells() },
	}
	if p.budget != nil {
		gauges["memory_held"] = func() any { return p.budget.Figures() }
		gauges["memory_refused"] = func() any { return p.router.Evicted() }
	}
	if p.registry != nil {
		gauges["told_dropped"] = func() any { return p.registry.Dropped() }
		gauges["confirmed_ms_ago"] = func() any { return p.registry.ConfirmedAgo().Milliseconds() }
		gauges["platform_calls_by_purpose"] = func() any { return p.registry.CallsByPurpose() }
		gauges["platform_era"] = func() any { return p.registry.Era() }
		if p.config.Settings.RolloutShare > 0 {
			gauges["rollouts"] = func() any { orders, _ := p.registry.Rollouts(); return orders }
			gauges["rollout_writes"] = func() any { _, writes := p.registry.Rollouts(); return writes }
		}
		gauges["suspects_writes"] = func() any { return p.registry.SuspectsWrites() }
		gauges["kinds_confirmed_ms_ago"] = func() any { return kindAges(p.registry) }
	}
	return gauges
}

// kindAges returns the milliseconds since each kind of the platform's objects was last confirmed.
func kindAges(registry *users.Registry) map[string]int64 {
	ages := make(map[string]int64)
	for name, age := range registry.KindsConfirmedAgo() {
		ages[name] = age.Milliseconds()
	}
	return ages
}

// dropped returns the number of log lines dropped since the start; it is 0 without a ring buffer.
func (p *Process) dropped() int64 {
	if p.config.Ring == nil {
		return 0
	}
	return p.config.Ring.Dropped()
}

// view returns the coordination state, or false if it is not available within viewTimeout.
func (p *Process) view() (coordination.View, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), viewTimeout)
	defer cancel()
	return p.router.View(ctx)
}

// messagesVar is the JSON of a number of messages and their total size in bytes.
type messagesVar struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// peersVar is the JSON of the links to other routers; its counters are totals since the start.
type peersVar struct {
	Router       cell.RouterID          `json:"router"` // Router is the ID of this router.
	Links        int                    `json:"links"`  // Links is the number of routers that this one has dialled and reached.
	StakesTotal  int                    `json:"stakes_total"`
	Out          map[string]messagesVar `json:"out"`           // Out counts sent messages, by kind.
	In           map[string]messagesVar `json:"in"`            // In counts received messages, by kind.
	Refused      map[string]uint64      `json:"refused"`       // Refused counts connections of peers that did not prove the shared key, by reason.
	DialFailures uint64                 `json:"dial_failures"` // DialFailures counts failed attempts to connect to a router.
	Overflows    uint64                 `json:"overflows"`     // Overflows counts links closed because their send buffer was full.
	Unsendable   uint64                 `json:"unsendable"`    // Unsendable counts messages that were larger than the largest frame.
}

func (p *Process) peers() *peersVar {
	view, ok := p.view()
	if !ok {
		return nil
	}
	return &peersVar{
		Router:       view.Router,
		Links:        view.Links,
		StakesTotal:  view.Total,
		Out:          newMessagesVars(view.Peers.Out),
		In:           newMessagesVars(view.Peers.In),
		Refused:      view.Peers.Refused,
		DialFailures: view.Peers.DialFailures,
		Overflows:    view.Peers.Overflows,
		Unsendable:   view.Peers.Unsendable,
	}
}

func newMessagesVars(by map[string]stamped.Amount) map[string]messagesVar {
	amounts := make(map[string]messagesVar, len(by))
	for kind, amount := range by {
		amounts[kind] = messagesVar(amount)
	}
	return amounts
}

// cellVar is the JSON of a cell for which this router is the dispatcher.
type cellVar struct {
	StakesHeld  int                             `json:"stakes_held"`
	StakesTotal int                             `json:"stakes_total"`
	Entries     int                             `json:"entries"` // Entries is the number of routers with a live session at this dispatcher.
	Waiting     int                             `json:"waiting"` // Waiting is the number of queued requests of all teams.
	Teams       map[cell.TeamID]teamVar         `json:"teams"`
	Endpoints   map[cell.EndpointID]endpointVar `json:"endpoints"`
	Rejected    int                             `json:"rejected_parts"`      // Rejected is the number of prompt parts whose requests are rejected, since they crash engines.
	Paced       *pacedVar                       `json:"paced,omitempty"`     // Paced is nil unless the cell is a service whose endpoints report their pace.
	Crossings   []crossingVar                   `json:"crossings,omitempty"` // Crossings lists the paths to other data centres that requests have taken.
}

// crossingVar is the JSON of the traffic of a cell from one data centre to another.
type crossingVar struct {
	From     string                     `json:"from"`
	To       string                     `json:"to"`
	Share    float64                    `json:"share"` // Share is the part of the demand at From that may leave it, to any data centre.
	DelayMs  int64                      `json:"delay_ms"`
	Failures float64                    `json:"failures"` // Failures is the recent part of the attempts that failed.
	Probed   bool                       `json:"probed"`   // Probed is true while the path gets single attempts only.
	ByCause  map[string]crossing.Amount `json:"by_cause"` // ByCause counts the requests and their bytes since this router began to dispatch the cell.
}

// teamVar is the JSON of a team in a cell.
type teamVar struct {
	Queued   int     `json:"queued"`
	InFlight int     `json:"in_flight"`
	Counter  float64 `json:"counter"`
}

// endpointVar is the JSON of an endpoint in a cell.
type endpointVar struct {
	State    string `json:"state"`
	Open     bool   `json:"open"` // Open is true if the configuration allows the endpoint new requests, even if it is unreachable now.
	Limit    int    `json:"limit"`
	InFlight int    `json:"in_flight"`
	Free     int    `json:"free"`                  // Free is how many requests this dispatcher could grant to the endpoint now; it is 0 if the endpoint is closed or unreachable.
	Pace     int    `json:"pace,omitempty"`        // Pace is how long work is taken to need there now, in percent of the usual time; absent if the endpoint reports none.
	PaceAge  int64  `json:"pace_age_ms,omitempty"` // PaceAge is the time since its last report.
}

// pacedVar is the JSON of the admission of a service whose endpoints report their pace.
type pacedVar struct {
	CallRate float64 `json:"call_rate"` // CallRate is how many calls a second the endpoints answer at their present pace.
	Margin   float64 `json:"margin"`    // Margin is the factor by which a call may take longer than expected and still be in time.
	Told     int64   `json:"told"`      // Told counts the refused callers that were told when to return.
	Returned int64   `json:"returned"`  // Returned counts the calls that were taken for those of callers that return as told.
	Again    int64   `json:"again"`     // Again counts those of Returned that were refused again.
}

func (p *Process) cells() map[cell.ID]cellVar {
	view, ok := p.view()
	if !ok {
		return nil
	}
	cells := make(map[cell.ID]cellVar, len(view.Cells))
	for _, one := range view.Cells {
		cells[one.Cell] = newCellVar(one)
	}
	return cells
}

func newCellVar(snapshot dispatch.Snapshot) cellVar {
	shown := cellVar{
		StakesHeld:  snapshot.Held,
		StakesTotal: snapshot.Total,
		Entries:     snapshot.Entries,
		Waiting:     snapshot.Waiting,
		Rejected:    snapshot.RejectedParts,
		Teams:       make(map[cell.TeamID]teamVar, len(snapshot.Teams)),
		Endpoints:   make(map[cell.EndpointID]endpointVar, len(snapshot.Endpoints)),
	}
	if paced := snapshot.Paced; paced != nil {
		shown.Paced = &pacedVar{CallRate: paced.CallRate, Margin: paced.Margin, Told: paced.Told, Returned: paced.Returned, Again: paced.Again}
	}
	for _, team := range snapshot.Teams {
		shown.Teams[team.Team] = teamVar{Queued: team.Queued, InFlight: team.InFlight, Counter: team.Counter}
	}
	for _, at := range snapshot.Endpoints {
		shown.Endpoints[at.Endpoint] = endpointVar{
			State:    at.State.String(),
			Open:     at.Open,
			Limit:    at.Limit,
			InFlight: at.InFlight,
			Free:     at.Free,
			Pace:     at.Pace,
			PaceAge:  at.PaceAge.Milliseconds(),
		}
	}
	for i := range snapshot.Crossings {
		along := &snapshot.Crossings[i]
		shown.Crossings = append(shown.Crossings, crossingVar{
			From: along.From, To: along.To, Share: along.Share, DelayMs: along.Delay.Milliseconds(), Failures: along.Failures, Probed: along.IsProbed,
			ByCause: along.ByCause,
		})
	}
	return shown
}
