package caller

import (
	"bufio"
	"bytes"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	relayCheckInterval = 400 * time.Millisecond // relayCheckInterval is the time between two looks at a relayed request that has not arrived completely.
	relaySlack         = 250 * time.Millisecond // relaySlack is the time from the timeout of a request in which the other router may answer that itself.
)

// limitAnswer ends the relay if its answer has not begun by the timeout of the request, so that it is answered here. The returned
// function stops that.
func (r *relay) limitAnswer() (stop func()) {
	if r.server.config.Timeout == nil {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = time.AfterFunc(relayCheckInterval, r.checkTimeout)
	return func() { r.limit.Stop() }
}

// checkTimeout ends the relay if its request has no answer although its timeout is over, or sets when it is called again.
func (r *relay) checkTimeout() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered {
		return
	}
	if r.dueAt.IsZero() {
		timeout, known := r.timeout()
		switch {
		case !known:
			r.limit.Reset(relayCheckInterval)
			return
		case timeout <= 0:
			return
		}
		r.dueAt = r.keptSince.Add(timeout + relaySlack - r.age)
	}
	if left := time.Until(r.dueAt); left > 0 {
		r.limit.Reset(left)
		return
	}
	r.isOverdue = true
	r.far.Close()
}

// timeout returns the timeout of the relayed request, and false if its header has not arrived. The caller must hold mu.
func (r *relay) timeout() (timeout time.Duration, known bool) {
	var from fasthttp.Request
	if from.Header.Read(bufio.NewReaderSize(bytes.NewReader(r.kept), r.server.config.MaxHeader)) != nil {
		return 0, false
	}
	var rc fasthttp.RequestCtx
	rc.Init(&from, r.near.RemoteAddr(), discardLogger{})
	req := r.server.decodeRefused(&rc)
	if req == nil {
		return 0, true
	}
	return r.server.config.Timeout(req), true
}

// hasTimedOut reports whether the relay was ended because its request had no answer in time.
func (r *relay) hasTimedOut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isOverdue
}
