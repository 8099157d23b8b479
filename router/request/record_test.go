package request_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/result"
	"ryelug/router/keyed"
	"ryelug/router/request"
	standin "ryelug/standin/platform"
)

// TestKeyedCallsCost sends requests with Idempotency-Keys and checks how many sends, platform reads
// and platform writes each one costs.
func TestKeyedCallsCost(t *testing.T) {
	withHarness(t, func(h *harness) {
		is := is.NewRelaxed(h.T)
		server, client := h.startPlatform()
		answer := "answer"
		service := newFakeEndpoint(h.T, h.listen(), func(conn net.Conn, req *fasthttp.Request, _ int) bool {
			if answer == "" {
				fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", requestID(req))
				return true
			}
			write(conn, "text/plain", requestID(req), answer)
			return true
		})
		grants := &fakeGrants{endpoints: []grantedEndpoint{service}, valid: time.Second}
		keys := keyed.New(keyed.Config{Records: client, MaxRecorded: 10, Timeout: 100 * time.Millisecond})
		config := request.Config{Keys: keys, Grants: grants}
		url := h.serveCallers(config, request.Route{Service: true})
		// The outcome is written after the caller has its answer.
		waitForCalls := func(calls int64) {
			for deadline := time.Now().Add(time.Second); server.Calls().Total() < calls && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
		}
		cases := []struct {
			name, key, body, answer string
			sends                   int
			reads, writes           int64
			status                  int
			code                    result.Code
			faults                  standin.Faults
		}{
			{name: "first", key: "a", body: "{}", answer: "first", status: 200, sends: 1, writes: 2},
			{name: "repeat", key: "a", body: "{}", answer: "other", status: 200, sends: 0, reads: 1, writes: 1},
			{name: "other body", key: "a", body: "[]", status: 422, code: result.KeyMismatch, reads: 1, writes: 1},
			{name: "large", key: "b", body: "{}", answer: "longer than ten", status: 200, sends: 1, writes: 2},
			{name: "repeat of large", key: "b", body: "{}", status: 409, code: result.KeyOutcomeUnknown, reads: 1, writes: 1},
			{name: "refused", key: "c", body: "{}", status: 503, code: result.EndpointRefused, sends: 1, writes: 2},
			{name: "repeat of refused", key: "c", body: "{}", answer: "now", status: 200, sends: 1, reads: 1, writes: 3},
			{name: "lost answer", key: "d", body: "{}", answer: "now", status: 200, sends: 1, reads: 1, writes: 2, faults: standin.Faults{LoseAnswers: 1}},
			{name: "outage", key: "e", body: "{}", status: 503, code: result.PlatformUnavailable, faults: standin.Faults{Down: true}},
		}
		for _, c := range cases {
			h.Log(c.name)
			answer = c.answer
			server.SetFaults(c.faults)
			sends, before := service.sends(), server.Calls()
			status, body := h.post(url, c.body, "Idempotency-Key", c.key)
			waitForCalls(before.Total() + c.reads + c.writes)
			after := server.Calls()
			is.Equal(status, c.status)
			is.Equal(service.sends()-sends, c.sends)
			if c.code != 0 {
				is.Equal(parseRefusal(h.T, body).Error.Code, c.code)
			}
			if c.name == "repeat" {
				is.Equal(body, "first")
			}
			if !c.faults.Down {
				is.Equal([]int64{after.Reads - before.Reads, after.Writes - before.Writes}, []int64{c.reads, c.writes})
			}
		}
	})
}
