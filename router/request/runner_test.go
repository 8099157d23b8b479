package request_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/io/caller"
	"ryelug/io/endpoint"
	"ryelug/router/request"
)

// serveCallers starts a callers' server before a Runner and returns its URL.
func serveCallers(t testing.TB, config request.Config, route request.Route) string {
	if config.Endpoints == nil {
		config.Endpoints = endpoint.New(endpoint.Config{})
	}
	route.Team, route.Pool = "team", "pool"
	server := caller.New(caller.Config{Handler: &handler{request.New(config), route}})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { ln.Close() })
	return "http://" + ln.Addr().String() + "/v1/chat/completions"
}

// post sends a body and returns the whole answer.
func post(t testing.TB, url, body string, header ...string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer)
}

func TestMainPath(t *testing.T) {
	script := func(conn net.Conn, req *fasthttp.Request, _ int) bool {
		if !strings.Contains(string(req.Body()), "stream") {
			write(conn, "application/json", requestID(req), "whole")
			return true
		}
		body := "id: 1\ndata: one\n\nid: 2\ndata: two\n\ndata: [DONE]\n\n"
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			requestID(req), len(body), body)
		return true
	}
	grants := &fakeGrants{endpoints: []target{newFakeEndpoint(t, script)}, valid: time.Second}
	url := serveCallers(t, request.Config{Grants: grants}, request.Route{Idempotent: true})
	t.Run("whole", func(t *testing.T) {
		status, body := post(t, url, `{"model":"m"}`)
		is.New(t).Equal([]any{status, body}, []any{200, "whole"})
	})
	t.Run("stream", func(t *testing.T) {
		status, body := post(t, url, `{"model":"m","stream":true}`)
		is.New(t).Equal([]any{status, body}, []any{200, "id: 1\ndata: one\n\nid: 2\ndata: two\n\ndata: [DONE]\n\n"})
	})
}
