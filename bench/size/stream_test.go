package size_test

import (
	"bufio"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/standin/fleet"
)

const (
	shortAnswer = 10 // shortAnswer is the number of tokens below which an answer is asked for once a second.
	tokenGap    = 49 * time.Millisecond
)

// streams are callers that read streamed answers over HTTP.
type streams struct {
	client   fasthttp.Client
	tokens   atomic.Int64
	answers  atomic.Int64
	failures atomic.Int64
}

// drive starts the callers, which end with the test.
func drive(t *testing.T, routers []process, size processSize) *streams {
	s := &streams{client: fasthttp.Client{StreamResponseBody: true, MaxConnsPerHost: 1 << 12}}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range size.Streams * len(routers) {
		to := routers[i%len(routers)].callers
		start := time.Duration(i) * time.Duration(max(size.Tokens, 1)) * tokenGap / time.Duration(size.Streams*len(routers))
		callers.Go(func() { s.call(ctx, to, fmt.Sprintf("team-%05d", i%size.Teams), size.Tokens, start) })
	}
	t.Cleanup(func() { cancel(); callers.Wait() })
	return s
}

// call asks again and again, after a pause that spreads the callers.
func (s *streams) call(ctx context.Context, to netip.AddrPort, team string, tokens int, pause time.Duration) {
	for sleep(ctx, pause) {
		began := time.Now()
		if s.read(ctx, to, team, tokens) {
			s.answers.Add(1)
		} else if ctx.Err() == nil {
			s.failures.Add(1)
		}
		pause = 0
		if tokens < shortAnswer {
			pause = time.Second - time.Since(began)
		}
	}
}

// read tells whether a whole answer came.
func (s *streams) read(ctx context.Context, to netip.AddrPort, team string, tokens int) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + to.String() + "/v1/chat/completions")
	req.Header.Set("Authorization", "Bearer "+fleet.Key(team))
	req.SetBodyString(fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, processModel, tokens))
	if s.client.Do(req, resp) != nil || resp.StatusCode() != fasthttp.StatusOK {
		return false
	}
	whole := false
	for lines := bufio.NewScanner(resp.BodyStream()); ctx.Err() == nil && lines.Scan(); {
		switch line := lines.Text(); {
		case line == "data: [DONE]":
			whole = true
		case strings.HasPrefix(line, "data:"):
			s.tokens.Add(1)
		}
	}
	return whole
}

// sleep waits, and returns false if ctx ended.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
