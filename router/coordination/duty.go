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

// sweeperElection is passed to member.Table.Order in place of a cell ID. The first host in the order that it returns
// deletes expired records of idempotency keys.
const sweeperElection cell.ID = "calls"

// Adopt puts a generation of the configuration into force.
func (c *Coordinator) Adopt(next *directory.Directory) { c.postUncancellable(adopt{directory: next}) }

// Ask requests a grant; the decision arrives on the Reply channel of the request. It returns false if ctx ends
// before the ask is queued.
func (c *Coordinator) Ask(ctx context.Context, request lending.Ask) bool {
	return c.post(ctx, ask{request})
}

// Withdraw cancels an ask; the caller must not read its Reply afterwards.
func (c *Coordinator) Withdraw(request lending.Ask) { c.postUncancellable(withdraw{request}) }

// Finish reports that a granted attempt has ended.
func (c *Coordinator) Finish(id cell.ID, end cell.End) {
	c.postUncancellable(finish{cell: id, end: end})
}

// ReportFirstToken reports the first token of a granted attempt; latency is the time since the send. Load is what the
// endpoint reported with it; zero if nothing.
func (c *Coordinator) ReportFirstToken(id cell.ID, attempt cell.AttemptID, latency time.Duration, load cell.EndpointLoad) {
	c.postUncancellable(firstToken{cell: id, attempt: attempt, latency: latency, load: load})
}

// Tell sends a message to the given router, or to every linked router if none is given.
func (c *Coordinator) Tell(to cell.RouterID, message wire.Message) {
	c.postUncancellable(sendMessage{to: to, message: message})
}

// Depart ends the dispatcher role of this router and announces to all routers that it is leaving. It does nothing
// if ctx ends before the command is queued.
func (c *Coordinator) Depart(ctx context.Context) { c.post(ctx, depart{}) }

// Farewell tells all routers that this one has neither requests in flight nor a stake lent. It does nothing if ctx
// ends before the command is queued.
func (c *Coordinator) Farewell(ctx context.Context) { c.post(ctx, farewell{}) }

// IsCutOff reports whether this router is out of contact with both the platform and most other routers, so that it
// may send no new work.
func (c *Coordinator) IsCutOff() bool { return c.cutOff.Load() }

// Busy returns the time spent in coordination since the start. For each event, command or tick it counts only
// the last round of follow-ups (see handleFollowUps) and the work after it. It is wall-clock time, so it includes
// time in which other goroutines used the processor.
func (c *Coordinator) Busy() time.Duration { return time.Duration(c.busyNanos.Load()) }

// Messages returns the number of frames exchanged with other routers since the start, in both directions.
func (c *Coordinator) Messages() int64 { return c.mesh.Messages() }

// Sweeps reports whether this router is the one that deletes expired records of idempotency keys.
func (c *Coordinator) Sweeps() bool { return c.isSweeper.Load() }

// Listed delivers the platform's list of hosts, or the error of reading it.
func (c *Coordinator) Listed(ctx context.Context, members []member.Member, err error) {
	c.post(ctx, hostList{members: members, err: err})
}

// ListedAt returns when a list of hosts last arrived, read by this router or passed on by a peer; zero if none
// has.
func (c *Coordinator) ListedAt() time.Time {
	if at := c.listedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// PollTargets returns the endpoints whose load reports are needed here; the caller must not change them.
func (c *Coordinator) PollTargets() []dispatching.Target {
	if targets := c.pollTargets.Load(); targets != nil {
		return *targets
	}
	return nil
}

// PollNow returns a channel that receives a value when load reports are needed before the next regular poll.
func (c *Coordinator) PollNow() <-chan struct{} { return c.pollNow }

// Measured delivers the load report of an endpoint, or the error of the poll. The endpoint made the report no
// earlier than the time sampled.
func (c *Coordinator) Measured(ctx context.Context, target dispatching.Target, sampled time.Time, load endpoint.Load, err error) {
	c.post(ctx, loadReport{cell: target.Cell, endpoint: target.Endpoint, load: load, sampled: sampled, err: err})
}

// Holds delivers the prompt parts that an engine has in its cache, or the error of asking for them.
func (c *Coordinator) Holds(ctx context.Context, target dispatching.Target, parts []cell.Part, err error) {
	c.post(ctx, cacheContents{cell: target.Cell, endpoint: target.Endpoint, parts: parts, err: err})
}

// updatePollTargets publishes the endpoints whose load reports the dispatchers here need. If there are more than
// before, a poll is requested at once, since endpoints of a new cell get no work before their first report.
func (c *Coordinator) updatePollTargets() {
	targets := c.dispatch.Targets(time.Now())
	previous := c.pollTargets.Swap(&targets)
	if previous == nil || len(*previous) < len(targets) {
		c.requestPollRound()
	}
}

// requestPollRound requests a poll of all targets, unless one is requested already.
func (c *Coordinator) requestPollRound() {
	select {
	case c.pollNow <- struct{}{}:
	default: // A poll is requested already.
	}
}

// scheduleEarlyPoll looks for a cold endpoint (one that is still warming up) for which, before the next tick, a new
// load report would let more stakes count. If there is one, it sets the timer for an extra poll at that moment.
func (c *Coordinator) scheduleEarlyPoll(now time.Time) {
	lag := c.config.Timings.ReportLag
	sampled := c.dispatch.ReportDue(c.lastEarlySampled, now.Add(tickInterval-lag))
	if !sampled.IsZero() {
		c.earlyPollTimer.Reset(max(sampled.Add(lag).Sub(now), time.Millisecond))
	}
}

// startEarlyPoll requests the load reports that scheduleEarlyPoll has set the timer for.
func (c *Coordinator) startEarlyPoll(now time.Time) {
	c.lastEarlySampled = now.Add(-c.config.Timings.ReportLag)
	c.dispatch.RequestReports(now)
}

// handleLoadReport passes a load report, or its absence, to the dispatcher of the endpoint's cell.
func (c *Coordinator) handleLoadReport(now time.Time, cmd loadReport) {
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

// handleCacheContents passes the contents of an engine's cache to the dispatcher of its cell.
func (c *Coordinator) handleCacheContents(now time.Time, cmd cacheContents) {
	log := c.log.WithField("cell", cmd.cell).WithField("endpoint", cmd.endpoint)
	if cmd.err != nil {
		log.WithError(cmd.err).Warn("The cache contents of an engine could not be read.")
		return
	}
	log.WithField("parts", len(cmd.parts)).Info("An engine has reported its cached prompt parts.")
	c.dispatch.Report(now, cmd.cell, &dispatch.CacheReport{Endpoint: cmd.endpoint, Parts: cmd.parts})
}

// updateFleetShare records whether this router deletes expired records of idempotency keys, and reports the number
// of routers that share fleet-wide limits if it has changed.
func (c *Coordinator) updateFleetShare(now time.Time) {
	order := c.memberTable.Order(now, sweeperElection)
	c.isSweeper.Store(len(order) > 0 && order[0] == c.self.Host())
	_, routers := c.memberTable.Voters()
	if c.config.SetFleetSize == nil || routers == 0 || routers == c.fleetSize {
		return
	}
	c.fleetSize = routers
	c.config.SetFleetSize(routers)
}
