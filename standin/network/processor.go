package network

import (
	"net/netip"
	"sync"
	"time"
)

// Processor is what a host has for its connections, and what they cost. Its work is done one piece after the other.
type Processor struct {
	Share   float64       // Share is the part of a core that the host has.
	Connect time.Duration // Connect is the time of a whole core that a connection takes at either end,
	Read    time.Duration // Read that of a read that returns bytes,
	Write   time.Duration // Write that of a write.
}

// processor is the queue of a host's work.
type processor struct {
	Processor

	mu   sync.Mutex
	free time.Time // free is when the work so far will be done.
	used time.Duration
}

// SetProcessor bounds what a host can do; hosts without a processor do all at once.
func (n *Network) SetProcessor(host netip.Addr, of Processor) {
	n.change(func() { n.processors[host] = &processor{Processor: of} })
}

// Backlog returns how long new work of a host would wait for its processor.
func (n *Network) Backlog(host netip.Addr) time.Duration {
	p := n.processor(host)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, time.Until(p.free))
}

// Used returns the time of a whole core that a host has used.
func (n *Network) Used(host netip.Addr) time.Duration {
	p := n.processor(host)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

func (n *Network) processor(host netip.Addr) *processor {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processors[host]
}

// spend waits until the host has done a piece of work.
func (n *Network) spend(host netip.Addr, cost func(*Processor) time.Duration) {
	if p := n.processor(host); p != nil {
		time.Sleep(time.Until(p.take(cost(&p.Processor))))
	}
}

// take queues a piece of work and returns when it is done.
func (p *processor) take(cost time.Duration) (done time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(cost) / p.Share))
	p.used += cost
	return p.free
}

// turnTime is the processor time for which a goroutine that has work goes on before others: the time slice of Go's scheduler.
const turnTime = 10 * time.Millisecond

// turn is the turn of a goroutine at its host's processor.
type turn struct {
	mu   sync.Mutex
	left time.Duration
}

// end ends the turn: the goroutine waits for something else than the processor.
func (t *turn) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = 0
}

// goesOn tells whether a piece of work belongs to the present turn, and begins a new one if it does not.
func (t *turn) goesOn(cost time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left >= cost {
		t.left -= cost
		return true
	}
	t.left = turnTime - cost
	return false
}

// spendInTurn is spend for a goroutine that does many pieces of work: it waits for the others once in a turn.
func (n *Network) spendInTurn(host netip.Addr, cost func(*Processor) time.Duration, of *turn) {
	p := n.processor(host)
	if p == nil {
		return
	}
	piece, began := cost(&p.Processor), time.Now()
	done := p.take(piece)
	if of.goesOn(piece) {
		done = began.Add(time.Duration(float64(piece) / p.Share))
	}
	time.Sleep(time.Until(done))
}

func costOfConnect(of *Processor) time.Duration { return of.Connect }
func costOfRead(of *Processor) time.Duration    { return of.Read }
func costOfWrite(of *Processor) time.Duration   { return of.Write }
