package coordination

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/router/lending"
	"ryelug/router/request"
)

// Grants asks the coordinator for permits on behalf of requests.
type Grants struct {
	coordinator *Coordinator
	last        atomic.Uint64 // last is the attempt numbered last.
}

// NewGrants returns the Grants of a coordinator.
func NewGrants(coordinator *Coordinator) *Grants { return &Grants{coordinator: coordinator} }

// Ask implements request.Grants.
func (g *Grants) Ask(ctx context.Context, pool cell.ID, team cell.TeamID, hint cell.Cost, avoid cell.EndpointID) (request.Permit, error) {
	attempt := cell.AttemptID(g.last.Add(1))
	cmd := ask{lending.Ask{
		Cell:   pool,
		Demand: cell.Demand{Attempt: attempt, Team: team, Estimate: hint, Avoid: avoid},
		Reply:  make(chan lending.Decision, 1),
	}}
	if !g.coordinator.post(ctx, cmd) {
		return nil, ctx.Err()
	}
	select {
	case decided := <-cmd.Reply:
		return g.permit(cmd, decided)
	case <-ctx.Done():
		return g.giveUp(ctx, cmd)
	}
}

// giveUp withdraws the demand. A grant that has come all the same is handed back.
func (g *Grants) giveUp(ctx context.Context, cmd ask) (request.Permit, error) {
	attempt := cmd.Demand.Attempt
	g.coordinator.postAlways(withdraw{cell: cmd.Cell, attempt: attempt})
	select {
	case decided := <-cmd.Reply:
		if decided.Refusal == nil {
			end := cell.End{Attempt: attempt, Outcome: cell.Unused}
			g.coordinator.postAlways(finish{cell: cmd.Cell, end: end})
		}
	default: // The coordinator hands back a grant that comes after the withdrawal.
	}
	return nil, ctx.Err()
}

func (g *Grants) permit(cmd ask, decided lending.Decision) (request.Permit, error) {
	if refusal := decided.Refusal; refusal != nil {
		return nil, &request.RefusedError{Code: result.Code(refusal.Code), RetryAfter: refusal.RetryAfter}
	}
	return &permit{
		coordinator: g.coordinator,
		cell:        cmd.Cell,
		attempt:     cmd.Demand.Attempt,
		decided:     decided,
	}, nil
}

// permit is one grant in the hands of a request.
type permit struct {
	coordinator *Coordinator
	cell        cell.ID
	attempt     cell.AttemptID
	decided     lending.Decision
}

// Endpoint implements request.Permit.
func (p *permit) Endpoint() (cell.EndpointID, netip.AddrPort, cell.StartID) {
	return p.decided.Endpoint, p.decided.Address, p.decided.Start
}

// Expires implements request.Permit.
func (p *permit) Expires() time.Time { return p.decided.Expires }

// Progress implements request.Permit; the coordinator reads the cost when it reports next.
func (p *permit) Progress(cost cell.Cost) { p.decided.Cost.Set(cost) }

// End implements request.Permit.
func (p *permit) End(outcome cell.Outcome, cost cell.Cost, firstToken time.Duration) {
	end := cell.End{Attempt: p.attempt, Outcome: outcome, Cost: cost, FirstToken: firstToken}
	p.coordinator.postAlways(finish{cell: p.cell, end: end})
}
