package dispatch_test

import (
	"testing"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// newIdleHarness returns a harness with one endpoint (cold limit 2, warm limit 10) that is warm and has been idle for
// several seconds, so that its load reports are needed rarely.
func newIdleHarness(t *testing.T) *harness {
	h := newHarness(t, 2, testPolicy(2, 10))
	h.joinAll()
	for range 6 {
		h.wait(time.Second)
		h.load(0, h.now, false, 50)
	}
	need := h.d.Need("e")
	h.True(need.Rare)
	h.True(need.Due.IsZero())
	return h
}

// An endpoint that is polled rarely may have turned cold since its last load report. It
// must get no more requests than its cold limit until its next report.
func TestRestingEndpointGetsColdLimit(t *testing.T) {
	for name, c := range map[string]struct {
		cold bool
		more int
	}{"still warm": {false, 10}, "cold again": {true, 2}} {
		t.Run(name, func(t *testing.T) {
			h := newIdleHarness(t)
			h.want(0, "a", 1)
			h.True(h.d.Need("e").Rare)
			h.want(0, "a", 14)
			h.Equal(len(h.grants), 2)
			h.True(h.d.TakeReportRequested())
			h.Equal(h.d.Need("e").Due, h.now)
			h.load(2, h.now, c.cold, 50)
			h.Equal(len(h.grants), c.more)
			h.True(!h.d.Need("e").Rare)
		})
	}
}

// A load report becomes due at once after a lost poll, a failure, or a newly lent stake that needs a report to be usable.
func TestDoubtWakesEndpoint(t *testing.T) {
	for name, happen := range map[string]func(*harness){
		"lost poll": func(h *harness) { h.step(&dispatch.Unreachable{Endpoint: "e"}) },
		"failure":   func(h *harness) { h.want(0, "a", 1); h.end(h.grants[0], cell.Failed, 1) },
		"new stake": func(h *harness) {
			h.step(&dispatch.Leave{Router: router(1), Session: 1})
			h.step(&dispatch.Join{Router: router(1), Session: 2, Stake: true})
			h.step(&dispatch.Renew{Router: router(1), Session: 2, StakeUntil: h.now.Add(time.Hour)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newIdleHarness(t)
			happen(h)
			h.True(h.d.TakeReportRequested())
			h.True(!h.d.Need("e").Rare)
		})
	}
}
