package lend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/lend"
)

const (
	lease = lend.DefaultStakeLease
	valid = lend.DefaultGrantValid
	wait  = lease + valid
)

// harness drives one Lender with explicit events and time.
type harness struct {
	*is.I
	lender *lend.Lender
	now    time.Time
}

func newHarness(t *testing.T) *harness {
	started := time.Unix(1000, 0)
	b := &harness{I: is.New(t), now: started}
	b.lender = lend.New(lend.Config{Self: "a/1", Cell: "chat", Started: started})
	b.advance(2 * wait)
	b.step(&lend.Order{Hosts: []cell.HostID{"d", "e", "a"}})
	return b
}

func (b *harness) advance(d time.Duration) { b.now = b.now.Add(d) }

func (b *harness) step(ev lend.Event) []lend.Action {
	return append([]lend.Action(nil), b.lender.Step(b.now, ev)...)
}

// find returns the only action of type T.
func find[T lend.Action](b *harness, actions []lend.Action) T {
	b.Helper()
	var found []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	b.Equal(len(found), 1) // exactly one action of this type
	return found[0]
}

func count[T lend.Action](actions []lend.Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}

// moveStakeToD connects router d and moves the stake from the entry itself to it.
func (b *harness) moveStakeToD() cell.Session {
	b.Helper()
	release := find[*lend.Release](b, b.step(&lend.LinkUp{Router: "d/1"}))
	b.Equal(string(release.Router), "a/1")
	join := find[*lend.Join](b, b.step(&lend.Released{Router: "a/1", Session: release.Session}))
	b.Equal(string(join.Router), "d/1")
	b.True(join.Stake)
	b.step(&lend.Accepted{Router: "d/1", Session: join.Session})
	return join.Session
}

func TestLenderMovesOnRelease(t *testing.T) {
	b := newHarness(t)
	session := b.moveStakeToD()
	b.step(&lend.LinkUp{Router: "e/1"})
	b.step(&lend.Want{Demand: cell.Demand{Attempt: 1, Team: "kiosks"}})
	b.step(&lend.Grants{Router: "d/1", Session: session, Echoed: b.now, Grants: []cell.Grant{{Attempt: 1, Endpoint: "x", Start: "s"}}})
	b.step(&lend.Want{Demand: cell.Demand{Attempt: 2, Team: "kiosks"}})
	release := find[*lend.Release](b, b.step(&lend.PeerLeaving{Router: "d/1"}))
	b.Equal(release.Session, session)
	actions := b.step(&lend.Released{Router: "d/1", Session: session})
	join := find[*lend.Join](b, actions)
	b.Equal(string(join.Router), "e/1")
	b.Equal(len(join.Flights), 1)
	b.Equal(find[*lend.SendWant](b, actions).Demands[0].Attempt, cell.AttemptID(2))
	b.Equal(count[*lend.SendEnds](b.step(&lend.End{End: cell.End{Attempt: 1, Outcome: cell.Completed}})), 2)
}

func TestLenderWaitsAfterCrash(t *testing.T) {
	b := newHarness(t)
	b.moveStakeToD()
	b.step(&lend.LinkUp{Router: "e/1"})
	b.step(&lend.FrameReceived{Router: "d/1"})
	b.Equal(count[*lend.Join](b.step(&lend.LinkDown{Router: "d/1"})), 0)
	b.advance(wait)
	b.Equal(count[*lend.Join](b.step(&lend.Tick{})), 0)
	b.advance(wait / 30)
	b.Equal(string(find[*lend.Join](b, b.step(&lend.Tick{})).Router), "e/1")
}
