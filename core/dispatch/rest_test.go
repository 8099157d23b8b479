package dispatch_test

import (
	"testing"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// restingBench returns a dispatcher of one endpoint, with limits 2 and 10, that is warm and has been idle for a while.
func restingBench(t *testing.T) *bench {
	b := newBench(t, 2, onePool(2, 10))
	b.joinAll()
	for range 6 {
		b.wait(time.Second)
		b.load(0, b.now, false, 50)
	}
	need := b.d.Need("e")
	b.True(need.Rare)
	b.True(need.Due.IsZero())
	return b
}

// An endpoint whose reports are rare may have turned cold unseen, so that it gets no more
// than it bears when cold until it has been asked again.
func TestRestingEndpointGetsColdLimit(t *testing.T) {
	for name, c := range map[string]struct {
		cold bool
		more int
	}{"still warm": {false, 10}, "cold again": {true, 2}} {
		t.Run(name, func(t *testing.T) {
			b := restingBench(t)
			b.want(0, "a", 1)
			b.True(b.d.Need("e").Rare)
			b.want(0, "a", 14)
			b.Equal(len(b.grants), 2)
			b.True(b.d.TakeWanted())
			b.Equal(b.d.Need("e").Due, b.now)
			b.load(2, b.now, c.cold, 50)
			b.Equal(len(b.grants), c.more)
			b.True(!b.d.Need("e").Rare)
		})
	}
}

// Each doubt about an endpoint, and each stake that waits for its report, asks for the report at once.
func TestDoubtWakesEndpoint(t *testing.T) {
	for name, happen := range map[string]func(*bench){
		"lost poll": func(b *bench) { b.step(&dispatch.Unreachable{Endpoint: "e"}) },
		"failure":   func(b *bench) { b.want(0, "a", 1); b.end(b.grants[0], cell.Failed, 1) },
		"new stake": func(b *bench) {
			b.step(&dispatch.Leave{Router: router(1), Session: 1})
			b.step(&dispatch.Join{Router: router(1), Session: 2, Stake: true})
			b.step(&dispatch.Renew{Router: router(1), Session: 2, StakeUntil: b.now.Add(time.Hour)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := restingBench(t)
			happen(b)
			b.True(b.d.TakeWanted())
			b.True(!b.d.Need("e").Rare)
		})
	}
}
