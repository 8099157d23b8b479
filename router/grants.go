package router

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/io/pause"
	"ryelug/router/coordination"
	"ryelug/router/lending"
	"ryelug/router/request"
)

// grants asks the coordinator for permits on behalf of requests.
type grants struct {
	coordinator *coordination.Coordinator
	last        atomic.Uint64 // last is the attempt numbered last.
}

// Ask implements request.Grants.
func (g *grants) Ask(ctx context.Context, wanted request.Wanted) (request.Permit, error) {
	attempt := cell.AttemptID(g.last.Add(1))
	ask := lending.Ask{
		Cell: wanted.Pool,
		Demand: cell.Demand{
			Attempt: attempt, Team: wanted.Team, Estimate: wanted.Hint, Avoid: wanted.Avoid, Class: wanted.Class,
			Prompt: wanted.Prompt, Due: wanted.Due,
		},
		Reply: make(chan lending.Decision, 1),
	}
	if !g.coordinator.Ask(ctx, ask) {
		return nil, ctx.Err()
	}
	select {
	case decided := <-ask.Reply:
		return g.permit(ask, decided)
	case <-ctx.Done():
		g.coordinator.Withdraw(ask)
		return nil, ctx.Err()
	}
}

func (g *grants) permit(ask lending.Ask, decided lending.Decision) (request.Permit, error) {
	if refusal := decided.Refusal; refusal != nil {
		return nil, &request.RefusedError{Attempt: ask.Demand.Attempt, Code: result.Code(refusal.Code), RetryAfter: refusal.RetryAfter}
	}
	return &permit{
		coordinator: g.coordinator,
		cell:        ask.Cell,
		attempt:     ask.Demand.Attempt,
		decided:     decided,
	}, nil
}

// permit is one grant in the hands of a request.
type permit struct {
	coordinator *coordination.Coordinator
	cell        cell.ID
	attempt     cell.AttemptID
	decided     lending.Decision
}

// Attempt implements request.Permit.
func (p *permit) Attempt() cell.AttemptID { return p.attempt }

// Endpoint implements request.Permit.
func (p *permit) Endpoint() (cell.EndpointID, netip.AddrPort, cell.StartID) {
	return p.decided.Endpoint, p.decided.Address, p.decided.Start
}

// Fetch implements request.Permit.
func (p *permit) Fetch() netip.AddrPort { return p.decided.Fetch }

// Predicted implements request.Permit.
func (p *permit) Predicted() time.Duration { return p.decided.Predicted }

// Expires implements request.Permit.
func (p *permit) Expires() time.Time { return p.decided.Expires }

// AwaitCounted implements request.Permit. The next frame of the dispatcher confirms the
// attempt, or the link's silence ends the session.
func (p *permit) AwaitCounted(ctx context.Context) bool {
	for !p.decided.Hold.Lapsed() {
		if p.decided.Hold.Confirmed(time.Now()) {
			return true
		}
		if !pause.For(ctx, confirmPause) {
			return false
		}
	}
	return false
}

// confirmPause is the time between two looks at whether an attempt is confirmed.
const confirmPause = 10 * time.Millisecond

// Begun implements request.Permit.
func (p *permit) Begun(first time.Duration) { p.coordinator.Begun(p.cell, p.attempt, first) }

// Progress implements request.Permit; the coordinator reads the cost when it reports next.
func (p *permit) Progress(cost cell.Cost) { p.decided.Cost.Set(cost) }

// End implements request.Permit.
func (p *permit) End(outcome cell.Outcome, cost cell.Cost, firstToken time.Duration) {
	end := cell.End{Attempt: p.attempt, Outcome: outcome, Cost: cost, FirstToken: firstToken}
	p.coordinator.Finish(p.cell, end)
}
