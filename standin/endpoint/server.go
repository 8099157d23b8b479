package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const requestsPath = "/v1/requests/"

// Serve answers on a listener until Close or until the listener fails.
func (e *Endpoint) Serve(listener net.Listener) error {
	if !e.addListener(listener) {
		listener.Close()
		return net.ErrClosed
	}
	for {
		raw, err := listener.Accept()
		if err != nil {
			return e.serveError(err)
		}
		e.accept(raw)
	}
}

// Close ends all connections and waits for their goroutines.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	for listener := range e.listeners {
		listener.Close()
	}
	for conn := range e.conns {
		conn.Close()
	}
	e.end()
	e.mu.Unlock()
	e.serving.Wait()
}

func (e *Endpoint) addListener(listener net.Listener) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listeners[listener] = true
	return !e.closed
}

func (e *Endpoint) serveError(err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil
	}
	return err
}

func (e *Endpoint) accept(raw net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		raw.Close()
		return
	}
	conn := &conn{Conn: raw, in: bufio.NewReader(raw)}
	e.conns[conn] = true
	e.serving.Go(func() {
		_ = e.http.ServeConn(conn) // A caller that leaves is no error of the endpoint.
		conn.unwatch()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.conns, conn)
	})
}

const requestIDHeader = "X-Request-Id"

func (e *Endpoint) handle(req *fasthttp.RequestCtx) {
	path := string(req.Path())
	switch {
	case path == "/load" && req.IsGet():
		WriteJSON(req, fasthttp.StatusOK, e.Load())
	case strings.HasPrefix(path, requestsPath) && req.IsDelete():
		e.handleCancel(req, strings.TrimPrefix(path, requestsPath))
	default:
		e.mu.Lock()
		life := e.life
		e.mu.Unlock()
		ctx := req.Conn().(*conn).watch(life)
		if id := req.Request.Header.Peek(requestIDHeader); len(id) > 0 {
			req.Response.Header.SetBytesV(requestIDHeader, id) // Refusals are told apart by it as well.
		}
		e.config.Handler(ctx, req)
	}
}

func (e *Endpoint) handleCancel(req *fasthttp.RequestCtx, request string) {
	if !e.Cancel(request) {
		WriteError(req, fasthttp.StatusNotFound, "no such request runs")
		return
	}
	WriteJSON(req, fasthttp.StatusOK, struct{}{})
}

// WriteJSON answers with a value.
func WriteJSON(req *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		req.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	req.SetStatusCode(status)
	req.SetContentType("application/json")
	req.SetBody(body)
}

// WriteError answers with an error that promises that nothing ran.
func WriteError(req *fasthttp.RequestCtx, status int, text string) {
	type inner struct {
		Message string `json:"message"`
	}
	req.Response.Header.Set("X-Not-Run", "true")
	WriteJSON(req, status, struct {
		Error inner `json:"error"`
	}{inner{text}})
}

// Hang closes a request's connection without an answer.
func Hang(req *fasthttp.RequestCtx) {
	req.Conn().Close()
}

// conn notices that its caller has gone while a request runs.
type conn struct {
	net.Conn
	in *bufio.Reader

	mu     sync.Mutex
	done   chan struct{} // done closes when the watcher has ended; nil without a watcher.
	cancel context.CancelCauseFunc
}

// watch returns a context that ends with life or when the caller has gone.
func (c *conn) watch(life context.Context) context.Context {
	ctx, cancel := context.WithCancelCause(life)
	done := make(chan struct{})
	c.mu.Lock()
	c.done, c.cancel = done, cancel
	c.mu.Unlock()
	go func() {
		defer close(done)
		_, err := c.in.Peek(1)
		var timeout net.Error
		switch {
		case err == nil: // The next request has come early.
		case errors.As(err, &timeout) && timeout.Timeout():
		default:
			cancel(err)
		}
	}()
	return ctx
}

// unwatch ends the watcher, if there is one.
func (c *conn) unwatch() {
	c.mu.Lock()
	done, cancel := c.done, c.cancel
	c.done = nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-done
	cancel(nil)
	_ = c.SetReadDeadline(time.Time{})
}

// Read reads the next request; the one before has been answered.
func (c *conn) Read(p []byte) (int, error) {
	c.unwatch()
	return c.in.Read(p)
}
