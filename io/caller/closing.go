package caller

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/io/listener"
	"ryelug/io/pause"
)

const (
	closePoll        = 10 * time.Millisecond  // closePoll is the interval at which Shutdown checks whether connections are still open.
	firstRequestWait = 500 * time.Millisecond // firstRequestWait is how long a retiring server waits for the first request of a new connection.
	flushReserve     = 100 * time.Millisecond // flushReserve is the part of the time for Shutdown in which requests that are still in progress are refused.
)

// Drain makes the server close each connection after its next answer, so that callers reconnect through the load balancer.
func (s *Server) Drain() { s.draining.Store(true) }

// Retire stops accepting connections and closes those that wait for a request of which nothing has arrived, now and as soon
// as others become idle. Connections that wait to be accepted are served first. It implies Drain and does not wait.
func (s *Server) Retire() {
	s.Drain()
	s.retiring.Store(true)
	s.close()
	for _, one := range s.tracked() {
		one.closeIfIdle()
	}
}

// Shutdown calls Retire and waits until all requests are answered and all relayed connections are closed.
// Shortly before ctx ends, or for flushReserve if it has ended, the contexts of requests in progress are cancelled with
// ErrStopping, and those that are not answered then are refused with OutcomeUnknown. Requests that other routers handed over
// go on for Config.HandedOverGrace longer.
// It returns the error of ctx if connections were still open when that ended.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Retire()
	patient, cancel := beforeEnd(ctx, flushReserve)
	defer cancel()
	s.awaitClosed(patient, func() {})
	if s.config.HandedOverGrace > 0 {
		s.endInProgress(ctx, func(c *conn) bool { return !c.handedOver })
		extended, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.HandedOverGrace)
		defer cancel()
		s.awaitClosed(extended, func() {})
	}
	s.endInProgress(ctx, func(*conn) bool { return true })
	ended, cancel := context.WithTimeout(context.WithoutCancel(ctx), 0)
	defer cancel()
	err := s.http.ShutdownWithContext(ended) // fasthttp closes only listeners that it already serves.
	for _, one := range s.tracked() {
		one.reportUnanswered()
	}
	return err
}

// endInProgress ends the relays and the requests in progress on the connections that include selects, and waits at most
// flushReserve for all connections to close.
func (s *Server) endInProgress(ctx context.Context, include func(*conn) bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushReserve)
	defer cancel()
	answerBy := time.Now().Add(flushReserve / 2)
	s.awaitClosed(ctx, func() { s.refuseInProgress(answerBy, include) })
}

// beforeEnd returns a context that ends earlier than ctx does, by the given margin; it never ends if ctx never does.
func beforeEnd(ctx context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	if end, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, end.Add(-margin))
	}
	return context.WithCancel(ctx)
}

// awaitClosed waits until no connection is open or accepted any more, nor the rest of one discarded, or ctx ends. It calls
// hurry until then.
func (s *Server) awaitClosed(ctx context.Context, hurry func()) {
	for s.accepting.Load() > 0 || s.relayed.Load() > 0 || len(s.tracked()) > 0 || len(s.discarding) > 0 {
		hurry()
		if !pause.For(ctx, closePoll) {
			return
		}
	}
}

// refuseInProgress ends the requests that are still being served by another router, or here on the connections that include
// selects, and those of which only a part has arrived. Handlers, which know whether a request has run, may answer until
// answerBy. Streams that have begun break off.
func (s *Server) refuseInProgress(answerBy time.Time, include func(*conn) bool) {
	for _, one := range s.relaying() {
		_ = one.far.Close() // The relay then ends and answers its caller. It fails if the connection was closed meanwhile.
	}
	for _, one := range s.tracked() {
		ex := one.exchange()
		switch {
		case !include(one):
		case ex == nil:
			_ = one.SetReadDeadline(pastDeadline) // It fails if the connection was closed meanwhile.
		case time.Now().Before(answerBy):
			ex.cancel(ErrStopping)
		default:
			ex.interrupt()
		}
	}
}

// trackRelay adds a relay to the running ones.
func (s *Server) trackRelay(r *relay) {
	s.relayed.Add(1)
	s.openMu.Lock()
	defer s.openMu.Unlock()
	s.relays[r] = struct{}{}
}

// untrackRelay removes a relay from the running ones.
func (s *Server) untrackRelay(r *relay) {
	s.openMu.Lock()
	delete(s.relays, r)
	s.openMu.Unlock()
	s.relayed.Add(-1)
}

// relaying returns the running relays.
func (s *Server) relaying() []*relay {
	s.openMu.Lock()
	defer s.openMu.Unlock()
	return slices.Collect(maps.Keys(s.relays))
}

// track adds a connection to the open ones and returns it.
func (s *Server) track(c *conn) *conn {
	s.openMu.Lock()
	defer s.openMu.Unlock()
	s.open[c] = struct{}{}
	return c
}

// untrack removes a connection from the open ones.
func (s *Server) untrack(c *conn) {
	s.openMu.Lock()
	defer s.openMu.Unlock()
	delete(s.open, c)
}

// tracked returns the open connections.
func (s *Server) tracked() []*conn {
	s.openMu.Lock()
	defer s.openMu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

// noteState implements fasthttp.Server.ConnState.
func noteState(raw net.Conn, state fasthttp.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return // fasthttp serves only connections of a listener.
	}
	switch state {
	case fasthttp.StateIdle:
		c.becomeIdle()
	case fasthttp.StateActive:
		c.becomeActive()
	}
}

// finisher is implemented by listeners that can stop accepting without dropping connections that wait to be accepted.
type finisher interface {
	net.Listener
	Finish() // Finish makes Accept return the connections that wait to be accepted, and then fail.
}

// graceful returns ln as a finisher.
func graceful(ln net.Listener) finisher {
	if f, ok := ln.(finisher); ok {
		return f
	}
	return listener.NewGraceful(ln)
}

// becomeIdle records that the last request was answered and its connection stays open.
func (c *conn) becomeIdle() {
	c.endServing()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// becomeActive records that a part of a request was received, possibly together with the request before it.
func (c *conn) becomeActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlimit()
}

// unlimit undoes limitWait, because a part of a request was received; c.mu must be held.
func (c *conn) unlimit() {
	c.idle = false
	if c.limited {
		c.limited = false
		_ = c.SetReadDeadline(time.Now().Add(c.server.config.ReadTimeout))
	}
}

// serving records the exchange of the request that is being served.
func (c *conn) serving(ex *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = ex
}

// exchange returns the exchange of the request that is being served, nil if there is none.
func (c *conn) exchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// closeIfIdle ends the wait for a request, so that the reader closes the connection unless it has received something.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limitWait()
}

// limitWait sets the read deadline of a connection that waits for a request, if the server is retiring; c.mu must be held.
func (c *conn) limitWait() {
	if !c.idle || !c.server.retiring.Load() {
		return
	}
	c.limited = true
	deadline := pastDeadline
	if !c.receivedAny {
		deadline = c.accepted.Add(firstRequestWait)
	}
	_ = c.SetReadDeadline(deadline)
}

// endWait records the result of a read. It returns true if the read has to be repeated: the wait for a request has ended, by
// limitWait or the idle timeout, but bytes have arrived. c.mu must be held.
func (c *conn) endWait(n int, err error) (again bool) {
	again = n == 0 && (c.limited || c.idle) && isTimeout(err) && isReadable(c.Conn)
	c.limited = c.limited || again
	if n > 0 || again {
		c.unlimit()
	}
	return again
}
