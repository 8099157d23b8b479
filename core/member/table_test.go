package member_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/member"
)

// voteDelay is how long a new host must be listed before it votes.
const voteDelay = member.DefaultLag + member.DefaultCutOffAfter

// fixture is a Table with assertions and a clock that the test moves.
type fixture struct {
	*is.I
	*member.Table
	now time.Time
}

// newFixture returns the table of h0, linked to the given number of other hosts, all of which vote.
func newFixture(t *testing.T, others int) *fixture {
	b := &fixture{I: is.New(t), Table: member.New(member.Config{Self: "h0"}), now: time.Unix(1000, 0)}
	b.Listed(b.now, members(others+1))
	for i := range others {
		b.Up(b.now, host(i+1))
	}
	b.pass(voteDelay)
	return b
}

func host(i int) cell.HostID { return cell.HostID(fmt.Sprintf("h%d", i)) }

func members(n int) []member.Member {
	list := make([]member.Member, n)
	for i := range list {
		list[i].Host = host(i)
	}
	return list
}

// pass moves the clock forward and updates the table.
func (b *fixture) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.Tick(b.now)
}

func (b *fixture) assertVoters(voters, total int) {
	b.Helper()
	hosts, n := b.Voters()
	b.Equal(len(hosts), voters) // the number of hosts that vote
	b.Equal(n, total)           // the number of parts that limits are divided into
}

func TestVotersGrowAtOnceAndShrinkLate(t *testing.T) {
	b := newFixture(t, 2)
	b.assertVoters(3, 3)
	b.Listed(b.now, members(4))
	b.assertVoters(3, 4) // The new host counts at once, but votes only after voteDelay.
	b.pass(voteDelay - 1)
	b.assertVoters(3, 4)
	b.pass(1)
	b.assertVoters(4, 4)
	b.Listed(b.now, members(3))
	b.pass(member.DefaultShrinkDelay)
	b.Listed(b.now, members(3))
	b.assertVoters(3, 4)
	b.pass(time.Millisecond)
	b.assertVoters(3, 4) // No host is removed before the next list is read.
	b.Listed(b.now, members(3))
	b.assertVoters(3, 3)
}

func TestHostCountsWhileItIsSeen(t *testing.T) {
	b := newFixture(t, 2)
	b.Listed(b.now, members(2))
	b.pass(time.Minute)
	b.assertVoters(2, 3) // A host that is linked counts but does not vote while it is not listed.
	b.RecordMembers(b.now, "h1", []cell.HostID{"h2"})
	b.Down(b.now, "h2")
	b.pass(time.Minute)
	b.assertVoters(2, 3) // A host that a linked peer reports still counts.
	b.Down(b.now, "h1")
	for range 60 {
		b.pass(time.Second)
		b.Listed(b.now, members(2))
	}
	b.assertVoters(2, 3) // A router without links to most of its peers removes no host.
	b.Up(b.now, "h1")
	b.assertVoters(2, 2)
}

func TestFailedReadsKeepTheList(t *testing.T) {
	b := newFixture(t, 2)
	for range 100 {
		b.ListFailed(b.now)
		b.pass(time.Minute)
	}
	b.assertVoters(3, 3)
	b.Equal(len(b.Members()), 3)
	b.True(!b.CutOff(b.now)) // A router that is linked to its peers is not cut off.
}

// TestWrongList reads a list that lacks most of the linked hosts, which must be rejected.
func TestWrongList(t *testing.T) {
	b := newFixture(t, 4)
	b.Listed(b.now, nil)
	b.Listed(b.now, members(2))
	b.assertVoters(5, 5)
	b.Equal(len(b.Members()), 5)
	b.Listed(b.now, members(3))
	b.assertVoters(3, 5)
	b.pass(voteDelay)
	b.Listed(b.now, members(5))
	b.assertVoters(3, 5) // A host that is listed again votes only after the delay of a new host.
	b.pass(voteDelay)
	b.assertVoters(5, 5)
}

func TestCutOff(t *testing.T) {
	b := newFixture(t, 4)
	b.Down(b.now, "h1")
	b.Down(b.now, "h2")
	b.pass(time.Minute)
	b.True(!b.CutOff(b.now)) // Three of five hosts are linked, this one included.
	b.Down(b.now, "h3")
	b.pass(member.DefaultCutOffAfter)
	b.True(!b.CutOff(b.now))
	b.pass(time.Millisecond)
	b.True(b.CutOff(b.now))
	b.Listed(b.now, members(5))
	b.True(!b.CutOff(b.now)) // A list that contains this host ends the cut-off.
}

// newCutOff returns the table of one of five hosts, which has just been cut off.
func newCutOff(t *testing.T) *fixture {
	b := newFixture(t, 4)
	for i := range 4 {
		b.Down(b.now, host(i+1))
	}
	b.pass(voteDelay)
	b.assertVoters(0, 5)
	return b
}

// TestVotesAfterLongCutOff checks that after a cut-off long enough for others to have forgotten a host,
// the host's vote counts as soon as a linked peer counts it.
func TestVotesAfterLongCutOff(t *testing.T) {
	b := newCutOff(t)
	b.pass(member.DefaultShrinkDelay)
	b.Listed(b.now, members(5))
	b.Up(b.now, "h1")
	b.assertVoters(0, 5)
	b.RecordWaiting(b.now, "h1", []cell.HostID{"h3"})
	b.RecordMembers(b.now, "h1", []cell.HostID{"h0", "h1", "h2", "h3", "h4"})
	b.assertVoters(4, 5) // h1 does not count the vote of h3.
	b.pass(voteDelay - 1)
	b.Listed(b.now, members(5))
	b.assertVoters(4, 5)
	b.pass(1)
	b.assertVoters(5, 5)
}

func TestVotesAfterShortCutOff(t *testing.T) {
	b := newCutOff(t)
	b.Listed(b.now, members(5))
	b.assertVoters(5, 5)
}

func TestOrder(t *testing.T) {
	b := newFixture(t, 6)
	full := slices.Clone(b.Order(b.now, "chat"))
	b.Equal(len(full), 7)
	b.True(!slices.Equal(full, b.Order(b.now, "tickets"))) // Another cell has another order.
	first := full[0]
	if first == "h0" {
		first = full[1]
	}
	without := slices.DeleteFunc(slices.Clone(full), func(h cell.HostID) bool { return h == first })
	b.Leaving(b.now, first)
	b.Equal(b.Order(b.now, "chat"), append(without, first)) // The other hosts keep their places.
}

// TestFlappingMemberIsDamped checks that a host whose link flaps loses its cell once, and gets it back once the link has stayed up for Damping.
func TestFlappingMemberIsDamped(t *testing.T) {
	b := newFixture(t, 6)
	id := cell.ID("tickets")
	first := b.Order(b.now, id)[0]
	b.True(first != "h0")
	moves, last := 0, first
	flap := func(change func(time.Time, cell.HostID)) {
		change(b.now, first)
		if now := b.Order(b.now, id)[0]; now != last {
			moves, last = moves+1, now
		}
		b.pass(100 * time.Millisecond)
	}
	for range 50 {
		flap(b.Down)
		flap(b.Up)
	}
	b.Equal(moves, 1)
	b.pass(member.DefaultDamping)
	b.Equal(b.Order(b.now, id)[0], first)
}

// TestShortLinkLossMovesNoCell checks that a link that is lost once and soon comes back moves no cell, while a longer loss does.
func TestShortLinkLossMovesNoCell(t *testing.T) {
	b := newFixture(t, 6)
	first := b.Order(b.now, "tickets")[0]
	b.Down(b.now, first)
	b.pass(900 * time.Millisecond)
	b.Equal(b.Order(b.now, "tickets")[0], first)
	b.pass(100 * time.Millisecond)
	b.True(b.Order(b.now, "tickets")[0] != first)
	b.Up(b.now, first)
	b.Equal(b.Order(b.now, "tickets")[0], first)
}

// TestNewProcessTakesNoCell checks that a new process comes last among the live hosts, in its own order too, until it has run for Damping.
func TestNewProcessTakesNoCell(t *testing.T) {
	b := newFixture(t, 6)
	first := b.Order(b.now, "tickets")[0]
	b.True(first != "h0")
	b.Started(b.now, first, b.now)
	b.Equal(b.Order(b.now, "tickets")[6], first)
	b.pass(member.DefaultDamping)
	b.Equal(b.Order(b.now, "tickets")[0], first)

	itself := member.New(member.Config{Self: first, Started: b.now})
	itself.Listed(b.now, members(7))
	itself.Up(b.now, "h0")
	b.Equal(itself.Order(b.now, "tickets")[0], host(0))
	itself.Tick(b.now.Add(member.DefaultDamping + time.Second))
	b.Equal(itself.Order(b.now, "tickets")[0], first)
}

// TestStrongHostsDispatch checks that hosts with much less processor than others dispatch only when none of those others is live.
func TestStrongHostsDispatch(t *testing.T) {
	b := newFixture(t, 6)
	list := members(7)
	for i := range list {
		list[i].Processor = 192
	}
	list[2].Processor, list[5].Processor = 700, 800
	b.Listed(b.now, list)
	for n := range 20 {
		order := b.Order(b.now, cell.ID(fmt.Sprint("cell-", n)))
		b.Equal(len(order), 7)
		b.True(order[0] == "h2" && order[1] == "h5" || order[0] == "h5" && order[1] == "h2")
	}
	b.Leaving(b.now, "h2")
	b.Equal(b.Order(b.now, "chat")[0], host(5))
	b.Leaving(b.now, "h5")
	order := b.Order(b.now, "chat")
	b.True(order[0] != "h2" && order[0] != "h5")
}

// TestLossMovesFewCells checks that the loss of a host moves only the cells that it dispatched.
func TestLossMovesFewCells(t *testing.T) {
	b := newFixture(t, 9)
	rng := rand.New(rand.NewPCG(1, 1))
	before := make(map[cell.ID]cell.HostID)
	for range 1000 {
		id := cell.ID(fmt.Sprintf("cell-%d", rng.Uint64()))
		before[id] = b.Order(b.now, id)[0]
	}
	b.Down(b.now, "h1")
	b.pass(time.Second) // The host keeps its place for one second, in case its link comes back.
	moved := 0
	for id, first := range before {
		now := b.Order(b.now, id)[0]
		b.True(first == "h1" || now == first)
		if now != first {
			moved++
		}
	}
	b.True(moved > 50 && moved < 200) // About a tenth of the 1000 cells move.
}

// BenchmarkSameList reads a list that has not changed and computes an order after it.
func BenchmarkSameList(b *testing.B) {
	t := member.New(member.Config{Self: "h0"})
	now := time.Unix(1000, 0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		t.Listed(now, members(410))
		t.Order(now, "chat")
	}
}

func BenchmarkTick(b *testing.B) {
	t := member.New(member.Config{Self: "h0"})
	now := time.Unix(1000, 0)
	t.Listed(now, members(410))
	all := make([]cell.HostID, 410)
	for i := range all {
		all[i] = host(i)
		t.Up(now, all[i])
	}
	for i := range 409 {
		t.RecordMembers(now, host(i+1), all)
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		t.Tick(now)
	}
}
