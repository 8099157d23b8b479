package coordination

import (
	"context"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/member"
	"ryelug/io/endpoint"
	"ryelug/io/wire"
	"ryelug/router/directory"
	"ryelug/router/dispatching"
	"ryelug/router/lending"
)

// sweepOrder stands for a cell in the order that names the router that deletes old records.
const sweepOrder cell.ID = "calls"

// Adopt puts a generation of the configuration in force.
func (c *Coordinator) Adopt(next *directory.Directory) { c.postAlways(adopt{directory: next}) }

// Ask asks for a grant; it returns false if ctx ends before.
func (c *Coordinator) Ask(ctx context.Context, request lending.Ask) bool {
	return c.post(ctx, ask{request})
}

// Withdraw gives an ask up; its reply must not be read any more.
func (c *Coordinator) Withdraw(request lending.Ask) { c.postAlways(withdraw{request}) }

// Finish tells that a granted attempt has ended.
func (c *Coordinator) Finish(id cell.ID, end cell.End) { c.postAlways(finish{cell: id, end: end}) }

// Begun tells of the first token of a granted attempt, so much after its send.
func (c *Coordinator) Begun(id cell.ID, attempt cell.AttemptID, first time.Duration) {
	c.postAlways(begun{cell: id, attempt: attempt, first: first})
}

// Tell sends a message to a router, or to all linked ones if to is empty.
func (c *Coordinator) Tell(to cell.RouterID, message wire.Message) {
	c.postAlways(tell{to: to, message: message})
}

// Depart gives the dispatcher role away and tells all routers that this one leaves.
func (c *Coordinator) Depart(ctx context.Context) { c.post(ctx, depart{}) }

// Farewell tells all routers that nothing of this one is left.
func (c *Coordinator) Farewell(ctx context.Context) { c.post(ctx, farewell{}) }

// CutOff tells whether this router must send no new work.
func (c *Coordinator) CutOff() bool { return c.cutOff.Load() }

// Busy returns the time that coordination has taken so far, other work of the process meanwhile included.
func (c *Coordinator) Busy() time.Duration { return time.Duration(c.busy.Load()) }

// Messages returns the number of messages so far that other routers sent or got.
func (c *Coordinator) Messages() int64 { return c.mesh.Messages() }

// Sweeps tells whether it is this router's turn to delete old records of keys.
func (c *Coordinator) Sweeps() bool { return c.sweeps.Load() }

// Listed takes the platform's list of hosts, or why it could not be read.
func (c *Coordinator) Listed(ctx context.Context, members []member.Member, err error) {
	c.post(ctx, listed{members: members, err: err})
}

// ListedAt returns when a list of hosts came last, read here or by a watcher; zero if none did.
func (c *Coordinator) ListedAt() time.Time {
	if at := c.listedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Targets returns the endpoints whose reports are needed here.
func (c *Coordinator) Targets() []dispatching.Target {
	if targets := c.polled.Load(); targets != nil {
		return *targets
	}
	return nil
}

// PollNow receives a value when reports are needed before the next round.
func (c *Coordinator) PollNow() <-chan struct{} { return c.pollNow }

// Measured takes an endpoint's report, or why there is none. The report stems from sampled or later.
func (c *Coordinator) Measured(ctx context.Context, target dispatching.Target, sampled time.Time, load endpoint.Load, err error) {
	c.post(ctx, measured{cell: target.Cell, endpoint: target.Endpoint, load: load, sampled: sampled, err: err})
}

// Holds takes which parts an engine keeps, or why that is not known.
func (c *Coordinator) Holds(ctx context.Context, target dispatching.Target, parts []cell.Part, err error) {
	c.post(ctx, holds{cell: target.Cell, endpoint: target.Endpoint, parts: parts, err: err})
}

// choosePolled publishes the endpoints whose reports the dispatchers here need.
// Those of a cell that is new here are asked at once, since without a report
// its endpoints get no work.
func (c *Coordinator) choosePolled() {
	targets := c.dispatch.Targets(time.Now())
	before := c.polled.Swap(&targets)
	if before == nil || len(*before) < len(targets) {
		c.askReports()
	}
}

// askReports asks for a round of reports.
func (c *Coordinator) askReports() {
	select {
	case c.pollNow <- struct{}{}:
	default: // A round is due already.
	}
}

// planEarly plans a round of reports for the moment before the next tick from
// which on they let further stakes count at cold endpoints.
func (c *Coordinator) planEarly(now time.Time) {
	lag := c.config.Timings.ReportLag
	due := c.dispatch.ReportDue(c.earlyFrom, now.Add(tickInterval-lag))
	if !due.IsZero() {
		c.early.Reset(max(due.Add(lag).Sub(now), time.Millisecond))
	}
}

// pollEarly wants the reports of the round that was planned.
func (c *Coordinator) pollEarly(now time.Time) {
	c.earlyFrom = now.Add(-c.config.Timings.ReportLag)
	c.dispatch.WantReports(now)
}

func (c *Coordinator) handleMeasured(now time.Time, cmd measured) {
	if cmd.err != nil {
		c.dispatch.Report(now, cmd.cell, &dispatch.Unreachable{Endpoint: cmd.endpoint})
		return
	}
	c.dispatch.Report(now, cmd.cell, &dispatch.Load{
		Endpoint:  cmd.endpoint,
		Start:     cmd.load.Start,
		Cold:      cmd.load.Cold,
		InFlight:  cmd.load.InFlight,
		Completed: int(cmd.load.Completed),
		Sampled:   cmd.sampled,
	})
}

func (c *Coordinator) handleHolds(now time.Time, cmd holds) {
	log := c.log.WithField("cell", cmd.cell).WithField("endpoint", cmd.endpoint)
	if cmd.err != nil {
		log.WithError(cmd.err).Warn("What an engine keeps is not known.")
		return
	}
	log.WithField("parts", len(cmd.parts)).Info("An engine tells what it keeps.")
	c.dispatch.Report(now, cmd.cell, &dispatch.Holds{Endpoint: cmd.endpoint, Parts: cmd.parts})
}

// share notes this router's part of what the fleet shares, and of the work on the records of keys.
func (c *Coordinator) share(now time.Time) {
	order := c.table.Order(now, sweepOrder)
	c.sweeps.Store(len(order) > 0 && order[0] == c.self.Host())
	_, total := c.table.Voters()
	if c.config.Share == nil || total == 0 || total == c.shares {
		return
	}
	c.shares = total
	c.config.Share(total)
}
