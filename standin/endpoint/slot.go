package endpoint

import (
	"context"
	"time"
)

// Slot is one request that runs.
type Slot struct {
	endpoint *Endpoint
	request  string
	running  context.Context // running ends when the request should stop.
	cancel   context.CancelFunc
	ended    bool
}

// Run says how a request comes to run.
type Run uint8

// Ways in which a request comes to run.
const (
	FirstRun Run = iota // FirstRun runs the request from its beginning.
	Resumed             // Resumed goes on with an earlier run.
)

// Begin records that a request runs, until ctx ends or the slot does.
func (e *Endpoint) Begin(ctx context.Context, request string, run Run) *Slot {
	running, cancel := context.WithCancel(ctx)
	slot := &Slot{endpoint: e, request: request, running: running, cancel: cancel}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slots[slot] = true
	kind := Started
	if run == Resumed {
		kind = ResumedRun
	}
	e.record(kind, request)
	if e.config.FallsOver && e.cold && len(e.slots) > e.config.ColdLimit {
		e.restart()
	}
	return slot
}

// Sleep waits for d at the endpoint's present speed, and tells whether the request still runs.
func (s *Slot) Sleep(d time.Duration) bool {
	d = s.endpoint.stretch(d)
	if d <= 0 { // In a synctest bubble, the race detector breaks on a timer that is due when it is made.
		return s.running.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return s.running.Err() == nil
	case <-s.running.Done():
		return false
	}
}

// End records how the request ended; only the first call counts.
func (s *Slot) End(kind Kind) {
	s.cancel()
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	s.endpoint.finish(s, kind)
}

// Cancel stops all runs of a request and tells whether there was one.
func (e *Endpoint) Cancel(request string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := false
	for slot := range e.slots {
		if slot.request == request {
			slot.cancel()
			e.finish(slot, CancelledRun)
			found = true
		}
	}
	return found
}

// finish ends a slot once; e.mu is held.
func (e *Endpoint) finish(slot *Slot, kind Kind) {
	if slot.ended {
		return
	}
	slot.ended = true
	delete(e.slots, slot)
	e.record(kind, slot.request)
	if kind != CompletedRun {
		return
	}
	e.completed++
	if e.cold && e.completed >= e.config.WarmUp {
		e.setCold(false)
	}
}
