package router

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/router/request"
)

// grants asks the coordinator for permits on behalf of requests.
type grants struct {
	coordinator *coordinator
	last        atomic.Uint64 // last is the attempt numbered last.
}

// Ask implements request.Grants.
func (g *grants) Ask(ctx context.Context, pool cell.ID, team cell.TeamID, hint cell.Cost, avoid cell.EndpointID) (request.Permit, error) {
	attempt := cell.AttemptID(g.last.Add(1))
	cmd := ask{
		cell:   pool,
		demand: cell.Demand{Attempt: attempt, Team: team, Estimate: hint, Avoid: avoid},
		reply:  make(chan decision, 1),
	}
	if !g.coordinator.post(ctx, cmd) {
		return nil, ctx.Err()
	}
	select {
	case decided := <-cmd.reply:
		return g.permit(cmd, decided)
	case <-ctx.Done():
		return g.giveUp(ctx, cmd)
	}
}

// giveUp withdraws the demand. A grant that has come all the same is handed back.
func (g *grants) giveUp(ctx context.Context, cmd ask) (request.Permit, error) {
	attempt := cmd.demand.Attempt
	g.coordinator.postAlways(withdraw{cell: cmd.cell, attempt: attempt})
	select {
	case decided := <-cmd.reply:
		if decided.refusal == nil {
			end := cell.End{Attempt: attempt, Outcome: cell.Unused}
			g.coordinator.postAlways(finish{cell: cmd.cell, end: end})
		}
	default: // The coordinator hands back a grant that comes after the withdrawal.
	}
	return nil, ctx.Err()
}

func (g *grants) permit(cmd ask, decided decision) (request.Permit, error) {
	if refusal := decided.refusal; refusal != nil {
		return nil, &request.RefusedError{Code: result.Code(refusal.Code), RetryAfter: refusal.RetryAfter}
	}
	return &permit{
		coordinator: g.coordinator,
		cell:        cmd.cell,
		attempt:     cmd.demand.Attempt,
		decided:     decided,
	}, nil
}

// permit is one grant in the hands of a request.
type permit struct {
	coordinator *coordinator
	cell        cell.ID
	attempt     cell.AttemptID
	decided     decision
}

// Endpoint implements request.Permit.
func (p *permit) Endpoint() (cell.EndpointID, netip.AddrPort, cell.StartID) {
	return p.decided.endpoint, p.decided.address, p.decided.start
}

// Expires implements request.Permit.
func (p *permit) Expires() time.Time { return p.decided.expires }

// Progress implements request.Permit; the coordinator reads the cost when it reports next.
func (p *permit) Progress(cost cell.Cost) { p.decided.cost.now.Store(int64(cost)) }

// End implements request.Permit.
func (p *permit) End(outcome cell.Outcome, cost cell.Cost, firstToken time.Duration) {
	end := cell.End{Attempt: p.attempt, Outcome: outcome, Cost: cost, FirstToken: firstToken}
	p.coordinator.postAlways(finish{cell: p.cell, end: end})
}
