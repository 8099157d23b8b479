package caller_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a shutdown that leaves a relayed request without an answer because the other router still works on it at
// the end of the grace period.
func TestShutdownAnswersRelayedRequestsInProgress(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }() // The other router reads the request and never answers.
	r := newRelaying(t, near, unchanged)
	conn := dial(t, r.address)
	post(conn, "{}")
	time.Sleep(settle)
	ctx, cancel := context.WithTimeout(t.Context(), 4*shutdownDelay)
	defer cancel()
	wait := shutdown(ctx, t, r.server)
	_ = conn.SetReadDeadline(time.Now().Add(answerLimit))
	r.assertUnknown(conn)
	wait()
}
