package pool

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/slice"
)

const (
	frameBytes = 6                     // frameBytes is the head of a frame.
	moveBytes  = 2 * (frameBytes + 16) // moveBytes are those of a MoveTo and the demand that follows.
	voter      = "voter/1"
)

// node is the host of a dispatcher.
type node struct {
	p        *Pool
	id       cell.ID
	part     *slice.Slice
	d        *dispatch.Dispatcher
	exchange *slice.Exchange
	frozen   time.Time // frozen is the time until which nothing is done.
}

func (p *Pool) addNode(part *slice.Slice) {
	n := &node{p: p, id: part.ID, part: part, d: dispatch.New(dispatch.Config{Cell: part.ID})}
	n.exchange = slice.NewExchange(slice.ExchangeConfig{
		Self: n.id, Cells: p.cells, Interval: p.conf.Interval, Margin: p.conf.margin(),
	})
	p.nodes[n.id] = n
	n.d.Step(p.now, p.policy(part, ""))
	n.d.Step(p.now, &dispatch.Voters{Hosts: []cell.HostID{"voter"}, Total: 1})
	n.d.Step(p.now, &dispatch.Join{Router: voter, Session: 1, Stake: true})
	n.d.Step(p.now, &dispatch.Renew{Router: voter, Session: 1, StakeUntil: p.now.Add(24 * time.Hour)})
}

// policy is the configuration of a slice while a data centre is out.
func (p *Pool) policy(part *slice.Slice, out string) *dispatch.Policy {
	policy := &dispatch.Policy{LongestRequest: time.Hour, LargestCost: p.conf.LargestCost, WarmUpRequests: 1}
	for i, share := range p.shares {
		policy.Teams = append(policy.Teams, dispatch.TeamPolicy{Team: p.names[i], Share: share})
	}
	for _, endpoint := range part.Endpoints {
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{
			Endpoint: endpoint, WarmLimit: p.conf.Limit, ColdLimit: 1, Closed: p.centreOf[endpoint] == out,
		})
	}
	return policy
}

// receive does something at the node, later if it is frozen.
func (n *node) receive(do func()) {
	if wait := n.frozen.Sub(n.p.now); wait > 0 {
		n.p.after(wait, func() { n.receive(do) })
		return
	}
	do()
}

func (n *node) poll() {
	n.p.after(pollStep, func() { n.receive(n.poll) })
	for _, endpoint := range n.part.Endpoints {
		n.step(&dispatch.Load{Endpoint: endpoint, Start: "s", Sampled: n.p.now, Completed: 9})
	}
}

func (n *node) tick() {
	n.p.after(tickStep, func() { n.receive(n.tick) })
	n.step(&dispatch.Tick{})
}

// step lets the dispatcher take an event, and tells the siblings if that is due.
func (n *node) step(ev dispatch.Event) {
	for _, action := range n.d.Step(n.p.now, ev) {
		switch action := action.(type) {
		case *dispatch.GrantTo:
			n.grant(*action)
		case *dispatch.MoveTo:
			n.moveTo(*action)
		}
	}
	_, isTick := ev.(*dispatch.Tick)
	mayTell := n.p.conf.Exchange || n.p.conf.Pass
	if mayTell && (isTick || n.d.IsIdle()) && n.exchange.IsDue(n.p.now, n.d.Status()) {
		n.tell()
	}
}

// tell tells the siblings how the cell stands and what it has served.
func (n *node) tell() {
	own := n.d.Status()
	n.exchange.RecordSent(n.p.now, own)
	services := n.d.ServiceReport(nil, n.p.conf.Threshold)
	for _, id := range n.p.cells {
		if id == n.id {
			continue
		}
		message := &slice.ServiceReport{From: n.id, Incarnation: 1, Status: own}
		if n.p.conf.Exchange {
			message.Services = n.exchange.ServicesFor(id, services)
		}
		to := n.p.nodes[id]
		n.p.seen.sent(n, to, n.p.tellBytes(message))
		n.p.after(n.p.conf.Delay, func() { to.receive(func() { to.hear(message) }) })
	}
}

// tellBytes is the size of a service report with teams as numbers in the order of the
// configuration; numbers and floats can always be encoded.
func (p *Pool) tellBytes(message *slice.ServiceReport) int {
	at := message.Status
	values := []any{uint64(1), message.Incarnation, float32(at.Virtual), at.Waiting, at.Free, at.Slots, at.Granted, at.Periods}
	for _, service := range message.Services {
		values = append(values, uint64(p.numbers[service.Team]), uint64(service.Cost))
	}
	encoded, _ := msgpack.Marshal(values)
	return frameBytes + len(encoded)
}

func (n *node) hear(message *slice.ServiceReport) {
	services := n.exchange.HandleReport(n.p.now, message, n.d.Status())
	follow := n.exchange.Follow(n.p.now, n.d.Virtual())
	n.step(&dispatch.SiblingService{Virtual: follow, Services: services})
	if n.d.Status().Waiting == 0 {
		n.exchange.Rescale(n.d.Virtual())
	}
	if !n.p.conf.Pass {
		return
	}
	if transfer, ok := n.exchange.Pass(n.p.now, message.From, n.d.Status()); ok {
		n.step(&dispatch.Move{To: transfer.To, Count: transfer.Count, Below: transfer.Below})
	}
}

func (n *node) grant(action dispatch.GrantTo) {
	level := cell.Level{Lead: n.exchange.Lead(n.p.now, n.d.Virtual()), HasRoom: n.d.IsIdle()}
	to := n.p.byRouter[action.Router]
	n.p.seen.grants++
	n.p.after(n.p.conf.Delay, func() {
		to.chooser.RecordLevel(n.p.now, n.id, level)
		to.granted(n, action)
	})
}

func (n *node) moveTo(action dispatch.MoveTo) {
	to := n.p.byRouter[action.Router]
	n.p.seen.moved(n)
	n.p.after(n.p.conf.Delay, func() { to.passedOn(n, action) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
