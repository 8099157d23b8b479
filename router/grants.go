package router

import (
	"context"
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/core/rollout"
	"ryelug/io/pause"
	"ryelug/router/coordination"
	"ryelug/router/directory"
	"ryelug/router/lending"
	"ryelug/router/request"
)

// grants implements request.Grants: it asks the coordinator for grants, under attempt numbers of its own.
type grants struct {
	coordinator *coordination.Coordinator
	directory   func() *directory.Directory // directory returns the configuration in force; nil before the first one.
	lastAttempt atomic.Uint64               // lastAttempt is the number of the newest attempt.
}

// Ask implements request.Grants.
func (g *grants) Ask(ctx context.Context, wanted request.GrantRequest) (request.Permit, error) {
	attempt := cell.AttemptID(g.lastAttempt.Add(1))
	ask := lending.Ask{
		Cell: wanted.Pool,
		Demand: cell.Demand{
			Attempt: attempt, Team: wanted.Team, Estimate: wanted.Hint, Avoid: wanted.Avoid, Class: wanted.Class,
			Prompt: wanted.Prompt, Deadline: wanted.Deadline,
		},
		Reply: make(chan lending.Decision, 1),
	}
	if !g.coordinator.Ask(ctx, ask) {
		return nil, ctx.Err()
	}
	select {
	case decision := <-ask.Reply:
		return g.permit(ask, decision)
	case <-ctx.Done():
		g.coordinator.Withdraw(ask)
		return nil, ctx.Err()
	}
}

// permit converts a decision into a permit, or into an error if the attempt was refused.
func (g *grants) permit(ask lending.Ask, decision lending.Decision) (request.Permit, error) {
	if refusal := decision.Refusal; refusal != nil {
		return nil, &request.RefusedError{Attempt: ask.Demand.Attempt, Code: result.Code(refusal.Code), RetryAfter: refusal.RetryAfter}
	}
	return &permit{
		coordinator: g.coordinator,
		directory:   g.directory,
		cell:        ask.Cell,
		attempt:     ask.Demand.Attempt,
		decision:    decision,
	}, nil
}

// permit implements request.Permit: one granted attempt, which its request may send.
type permit struct {
	coordinator *coordination.Coordinator
	directory   func() *directory.Directory
	cell        cell.ID
	attempt     cell.AttemptID
	decision    lending.Decision
	load        cell.EndpointLoad // load is what the endpoint reported in its latest answer; zero if nothing.
	bytes       int               // bytes is the size of the request's body and its answer; only set with load.
	took        time.Duration     // took is the time from sending to the answer; only set with load, or while the cell has a running roll-out.
	isBroken    bool              // isBroken is set once the connection has closed before the answer was complete.
}

// Attempt implements request.Permit.
func (p *permit) Attempt() cell.AttemptID { return p.attempt }

// Endpoint implements request.Permit.
func (p *permit) Endpoint() (cell.EndpointID, netip.AddrPort, cell.StartID) {
	return p.decision.Endpoint, p.decision.Address, p.decision.Start
}

// IsOpen implements request.Permit. An endpoint that this router did not know of when the grant arrived is not open.
func (p *permit) IsOpen() bool {
	d := p.directory()
	return d == nil || p.decision.Address.IsValid() && !d.IsClosed(p.decision.Endpoint)
}

// Fetch implements request.Permit.
func (p *permit) Fetch() netip.AddrPort { return p.decision.Fetch }

// Predicted implements request.Permit.
func (p *permit) Predicted() time.Duration { return p.decision.Predicted }

// Expires implements request.Permit.
func (p *permit) Expires() time.Time { return p.decision.Expires }

// AwaitConfirmed implements request.Permit. It polls until a frame from the dispatcher confirms that the attempt still
// counts. It returns false if ctx ends first, or once the session with the dispatcher has ended, which happens at
// the latest when the link is closed for silence.
func (p *permit) AwaitConfirmed(ctx context.Context) bool {
	for !p.decision.Hold.Lapsed() {
		if p.decision.Hold.Confirmed(time.Now()) {
			return true
		}
		if !pause.For(ctx, confirmPollInterval) {
			return false
		}
	}
	return false
}

// confirmPollInterval is the time between two checks of whether the dispatcher has confirmed an attempt.
const confirmPollInterval = 10 * time.Millisecond

// ReportFirstToken implements request.Permit.
func (p *permit) ReportFirstToken(first time.Duration) {
	p.coordinator.ReportFirstToken(p.cell, p.attempt, first, p.load)
}

// ReportTook implements request.Permit. The time is of use to the judge of a roll-out alone.
func (p *permit) ReportTook(took time.Duration) {
	d := p.directory()
	if d == nil {
		return
	}
	if order := d.Policy(p.cell).Rollout; order != nil && order.State == rollout.Running {
		p.took = took
	}
}

// ReportBroken implements request.Permit.
func (p *permit) ReportBroken() { p.isBroken = true }

// ReportLoad implements request.Permit.
func (p *permit) ReportLoad(load cell.EndpointLoad, bytes int, took time.Duration) {
	p.load, p.bytes, p.took = load, bytes, max(p.took, took)
}

// ReportCost implements request.Permit. It only stores the cost; the coordinator reads it for its next progress
// report to the dispatcher.
func (p *permit) ReportCost(cost cell.Cost) { p.decision.Cost.Set(cost) }

// End implements request.Permit.
func (p *permit) End(outcome cell.Outcome, cost cell.Cost, firstToken time.Duration) {
	end := cell.End{Attempt: p.attempt, Outcome: outcome, Cost: cost, FirstToken: firstToken, IsBroken: p.isBroken, Took: p.took}
	if p.load.IsKnown() {
		end.Load, end.Bytes = p.load, uint32(min(p.bytes, math.MaxUint32))
	}
	p.coordinator.Finish(p.cell, end)
}
