package caller

import (
	"bytes"
	"os"
	"sync/atomic"
	"time"

	"ryelug/core/holding"
	"ryelug/io/handover"
	"ryelug/io/held"
)

// endHold releases the bytes that a request holds; h is nil if it holds none.
func (s *Server) endHold(h *holding.Holder) {
	if h != nil {
		s.config.Budget.End(h)
	}
}

// evictRead ends the read of a body.
func (c *conn) evictRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	_ = c.SetReadDeadline(pastDeadline)
}

// limitRead sets the read deadline for a part of a body, unless that is evicted.
func (c *conn) limitRead(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicted {
		_ = c.SetReadDeadline(deadline)
	}
}

// limitRaw sets the number of bytes on the wire that the request which is being read may take; zero is no limit.
func (c *conn) limitRaw(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rawLimit = bytes
}

// hasTimedOut reports whether the last read failed because its deadline had passed.
func (c *conn) hasTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return isTimeout(c.progress.readErr)
}

// limitWrite sets the write deadline for the next part of an answer, and returns the exchange of the answer, if there is one.
func (c *conn) limitWrite() (*exchange, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread {
		return nil, os.ErrDeadlineExceeded
	}
	return c.served, c.SetWriteDeadline(time.Now().Add(c.writeTimeout))
}

// evictWrite ends the write of an answer that the caller does not read, unless that was written meanwhile.
func (c *conn) evictWrite(o *outflow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.served == nil || &c.served.outflow != o {
		return
	}
	c.unread = true
	if stream, ok := c.Conn.(*handover.Stream); ok {
		_ = stream.Close() // Its deadlines do not end a write that is blocked.
		return
	}
	_ = c.SetWriteDeadline(pastDeadline)
}

// endServing ends the hold of the answer that was being written, if there is one.
func (c *conn) endServing() {
	c.mu.Lock()
	ex := c.served
	c.served, c.unread = nil, false
	c.mu.Unlock()
	if ex != nil {
		ex.outflow.end()
	}
}

const (
	freeResponse = 16 << 10        // freeResponse is the size up to which an answer is covered by the share of its connection.
	freeEvent    = 4 << 10         // freeEvent is the same for an event.
	maxQueued    = 32 << 10        // maxQueued limits the bytes of a stream that are queued, unless a single event is larger.
	copiesPerOut = 2               // copiesPerOut is the number of copies of an event that a stream holds: as queued and as encoded.
	responseWait = 3 * time.Second // responseWait is how long bytes for an event are awaited; its endpoint waits meanwhile.
)

// outflow counts the bytes of one answer that its caller has not read. Its budget may be nil.
type outflow struct {
	link   *conn // link is nil if nothing is counted.
	budget *holding.Budget
	holder atomic.Pointer[holding.Holder] // holder is nil until a large answer or event takes bytes.
	queued atomic.Int64                   // queued is the number of bytes in the queue of a stream.
	drain  chan struct{}                  // drain wakes holdEvent when the queue has become shorter.
	taken  int64                          // taken is the number of bytes held for the event that is being written.
	spare  atomic.Pointer[[]byte]         // spare is the buffer of an event that was written.
	ends   atomic.Int32                   // ends counts the calls of end.
}

// count makes the outflow of an answer count against the budget of the connection's server, if that has one.
func (o *outflow) count(link *conn) {
	if o.budget = link.server.config.Budget; o.budget != nil {
		o.link = link
	}
}

// take takes bytes of the answer from the budget, and waits for them up to the given time; small answers never come here.
func (o *outflow) take(bytes int64, wait time.Duration) holding.Cause {
	if o.holder.Load() == nil {
		o.holder.Store(&holding.Holder{Kind: holding.Responses, Client: clientOf(o.link.RemoteAddr()), OnlyStalled: true, Evict: o.evict})
	}
	return held.Take(o.budget, o.holder.Load(), bytes, wait)
}

// evict implements holding.Holder.Evict.
func (o *outflow) evict() { o.abort(holding.Stalled) }

// abort ends the answer because of the memory that it takes.
func (o *outflow) abort(cause holding.Cause) {
	o.link.server.config.Evicted(Eviction{Kind: holding.Responses, Cause: cause, Caller: o.link.RemoteAddr()})
	o.link.evictWrite(o)
}

// holdWhole takes the bytes of a complete answer. It doesn't wait for them: the answer is in memory already, so it is counted beyond
// the budget if that is exhausted.
func (o *outflow) holdWhole(bytes int) {
	if bytes <= freeResponse || o.link == nil {
		return
	}
	if o.take(int64(bytes), 0) != holding.None {
		o.budget.Force(time.Now(), o.holder.Load(), int64(bytes))
	}
}

// holdEvent takes the bytes of an event, and waits while the caller does not read the earlier ones. It returns false if the
// stream has ended, or is ended because the budget is exhausted.
func (o *outflow) holdEvent(event *Event, gone <-chan struct{}) bool {
	if o.link == nil {
		return true
	}
	if o.drain == nil {
		o.drain = make(chan struct{}, 1)
	}
	size := int64(len(event.Data) + len(event.Raw))
	for o.queued.Load() > 0 && o.queued.Load()+size > maxQueued {
		select {
		case <-o.drain:
		case <-gone:
			return false
		}
	}
	if size > freeEvent {
		switch o.take(copiesPerOut*size, responseWait) {
		case holding.None:
		case holding.Full:
			o.abort(holding.Full)
			return false
		default:
			return false // It is evicted already.
		}
	}
	o.queued.Add(size)
	return true
}

// clone returns a copy of data. Large copies reuse the buffer of an earlier event: the garbage of 64 streams of large events
// exceeded the memory faster than it was collected.
func (o *outflow) clone(data []byte) []byte {
	if len(data) <= freeEvent {
		return bytes.Clone(data)
	}
	if spare := o.spare.Swap(nil); spare != nil && cap(*spare) >= len(data) {
		return append((*spare)[:0], data...)
	}
	return bytes.Clone(data)
}

// recycle keeps the buffer of a large event that was encoded for the next one.
func (o *outflow) recycle(event *Event) {
	if one := max(len(event.Data), len(event.Raw)); one > freeEvent {
		spare := event.Data
		if len(event.Raw) == one {
			spare = event.Raw
		}
		o.spare.Store(&spare)
	}
}

// eventTaken records that an event has left the queue and is being written.
func (o *outflow) eventTaken(event *Event) {
	if o.link == nil {
		return
	}
	size := int64(len(event.Data) + len(event.Raw))
	if size > freeEvent {
		o.taken = copiesPerOut * size
	}
	o.queued.Add(-size)
	select {
	case o.drain <- struct{}{}:
	default:
	}
}

// eventWritten releases the bytes of the event that was written.
func (o *outflow) eventWritten() {
	if o.taken > 0 {
		o.budget.Release(o.holder.Load(), o.taken)
		o.taken = 0
	}
}

// progressed records that the caller has read a part of the answer.
func (o *outflow) progressed() {
	if h := o.holder.Load(); h != nil {
		o.budget.Progress(time.Now(), h)
	}
}

// end is called when the handler has returned and when the answer was written, and releases all bytes at the later one.
func (o *outflow) end() {
	if o.ends.Add(1) != 2 {
		return
	}
	if h := o.holder.Load(); h != nil {
		o.budget.End(h)
	}
}
