package peer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/io/peer"
	"ryelug/io/stamped"
	"ryelug/io/wire"
)

func sumBytes(amounts map[string]stamped.Amount) (bytes uint64) {
	for _, a := range amounts {
		bytes += a.Bytes
	}
	return bytes
}

// drainFor acknowledges all frames on the nodes for the duration d.
func drainFor(d time.Duration, nodes ...*node) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(peer.DefaultHeartbeat / 5) {
		for _, nd := range nodes {
			drain(nd)
		}
	}
}

// An idle link sends at most 30 bytes a second in each direction: heartbeats with time stamps and echoes.
func TestIdleLinkBytes(t *testing.T) {
	withLink(t, func(_ *network, a, b *node) {
		is := is.New(t)
		next[*peer.Up](t, a)
		const span = time.Minute
		before := sumBytes(a.Stats().Out)
		drainFor(span, a, b)
		rate := float64(sumBytes(a.Stats().Out)-before) / span.Seconds()
		t.Logf("idle link: %.1f bytes a second in each direction", rate)
		is.True(rate <= 30)
	})
}

// sendRequestMessages sends the control messages of a request that runs for four seconds.
func sendRequestMessages(entry, dispatcher *peer.Link, i int) {
	attempt := cell.AttemptID(100_000 + i)
	id := cell.ID("language-model")
	entry.Send(&wire.Want{Cell: id, Session: 40, Demands: []cell.Demand{{Attempt: attempt, Team: "school-groups"}}})
	grant := cell.Grant{Attempt: attempt, Endpoint: cell.EndpointID(fmt.Sprintf("khomas-1-engine-%d", i%10)), Start: "0d9e4c1b7a23"}
	dispatcher.Send(&wire.Grants{Cell: id, Session: 40, Grants: []cell.Grant{grant}})
	for second := range 4 {
		entry.Send(&wire.Progress{Cell: id, Session: 40, Progress: []cell.Progress{{Attempt: attempt, Cost: cell.Cost(300 + 50*second)}}})
	}
	entry.Send(&wire.Ends{Cell: id, Ends: []cell.End{{Attempt: attempt, Outcome: cell.Completed, Cost: 623, FirstToken: 700 * time.Millisecond}}})
}

// The control messages of a request take at most 200 bytes. A node may spend 2 KB a second on control traffic, and
// 2,600 requests a second on 410 nodes are 6.4 for each.
func TestRequestBytes(t *testing.T) {
	withLink(t, func(_ *network, a, b *node) {
		is := is.New(t)
		entry := next[*peer.Up](t, a).Link
		dispatcher := next[*peer.Up](t, b).Link
		const requests = 100
		before := sumBytes(a.Stats().Out) + sumBytes(b.Stats().Out)
		for i := range requests {
			sendRequestMessages(entry, dispatcher, i)
			synctest.Wait()
			drain(a)
			drain(b)
		}
		bytesPerRequest := float64(sumBytes(a.Stats().Out)+sumBytes(b.Stats().Out)-before) / requests
		t.Logf("a request with four reports of progress: %.1f bytes", bytesPerRequest)
		is.True(bytesPerRequest <= 200)
	})
}
