package engine_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"ryelug/standin/bubble"
	"ryelug/standin/endpoint"
	"ryelug/standin/engine"
)

const streamed = `{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`

type bench struct {
	*is.I
	engine *engine.Engine
	lis    *fasthttputil.InmemoryListener
}

// run serves an engine inside a bubble of virtual time.
func run(t *testing.T, config engine.Config, body func(b bench)) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		b := bench{I: is.New(t), engine: engine.New(config), lis: fasthttputil.NewInmemoryListener()}
		go func() { _ = b.engine.Serve(b.lis) }()
		synctest.Wait()
		body(b)
		b.engine.Close()
	})
}

func standard() engine.Config {
	return engine.Config{Name: "e", WarmLimit: 2, ColdLimit: 1, WarmUp: 2,
		FirstToken: 100 * time.Millisecond, TokenGap: 10 * time.Millisecond, ReportLag: 500 * time.Millisecond}
}

// send writes a request on a new connection.
func (b bench) send(method, path, id, lastEvent, body string) net.Conn {
	conn, err := b.lis.Dial()
	b.NoErr(err)
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://e" + path)
	req.Header.Set("X-Request-Id", id)
	if lastEvent != "" {
		req.Header.Set("Last-Event-ID", lastEvent)
	}
	req.SetBodyString(body)
	out := bufio.NewWriter(conn)
	b.NoErr(req.Write(out))
	b.NoErr(out.Flush())
	return conn
}

// call sends a request and reads the answer to its end.
func (b bench) call(method, path, id, lastEvent, body string) (int, string, error) {
	conn := b.send(method, path, id, lastEvent, body)
	defer conn.Close()
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(conn)); err != nil {
		return 0, "", err
	}
	return resp.StatusCode(), string(resp.Body()), nil
}

func (b bench) chat(id, lastEvent string) (int, string, error) {
	return b.call("POST", engine.ChatPath, id, lastEvent, streamed)
}

func TestAnswers(t *testing.T) {
	t.Run("stream", func(t *testing.T) {
		run(t, standard(), func(b bench) {
			began := time.Now()
			status, body, err := b.chat("r1", "")
			b.NoErr(err)
			b.Equal(status, 200)
			b.Equal(time.Since(began), 120*time.Millisecond)
			b.Equal(strings.Count(body, "id: "), 4)
			b.True(strings.Contains(body, "r1:3 "))
			b.True(strings.HasSuffix(body, "data: [DONE]\n\n"))
		})
	})
	t.Run("whole", func(t *testing.T) {
		run(t, standard(), func(b bench) {
			_, body, err := b.call("POST", engine.ChatPath, "r1", "", strings.Replace(streamed, "true", "false", 1))
			b.NoErr(err)
			b.True(strings.Contains(body, `"content":"r1:1 r1:2 r1:3 "`))
			b.True(strings.Contains(body, `"completion_tokens":3`))
		})
	})
	t.Run("resume after a break is no second run", func(t *testing.T) {
		run(t, standard(), func(b bench) {
			b.engine.Inject(&endpoint.Break{After: 2})
			_, _, err := b.chat("r1", "")
			b.True(err != nil)
			_, body, err := b.chat("r1", "2")
			b.NoErr(err)
			b.Equal(strings.Count(body, "id: "), 2)
			b.Equal(b.engine.History().Runs["r1"], 1)
			status, _, err := b.chat("r2", "2")
			b.NoErr(err)
			b.Equal(status, 404)
		})
	})
}

func TestCancel(t *testing.T) {
	cancels := map[string]func(b bench, conn net.Conn){
		"closing the connection": func(_ bench, conn net.Conn) { conn.Close() },
		"order": func(b bench, _ net.Conn) {
			status, _, err := b.call("DELETE", "/v1/requests/r1", "", "", "")
			b.NoErr(err)
			b.Equal(status, 200)
		},
	}
	for name, cancel := range cancels {
		t.Run(name, func(t *testing.T) {
			run(t, standard(), func(b bench) {
				conn := b.send("POST", engine.ChatPath, "r1", "", streamed)
				time.Sleep(50 * time.Millisecond)
				b.Equal(b.engine.History().HighWater(false), 1)
				cancel(b, conn)
				synctest.Wait()
				b.Equal(b.engine.History().Count(endpoint.CancelledRun), 1)
				conn.Close()
			})
		})
	}
}

func TestFaults(t *testing.T) {
	faults := []struct {
		name   string
		fault  endpoint.Fault
		status int
		fails  bool
		text   string
	}{
		{"refuse", &endpoint.Refuse{}, 503, false, "takes no work"},
		{"drop", &endpoint.Drop{}, 0, true, ""},
		{"break", &endpoint.Break{After: 1}, 0, true, ""},
		{"cross", &endpoint.Cross{}, 200, false, "another-request:1"},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			run(t, standard(), func(b bench) {
				b.engine.Inject(fault.fault)
				status, body, err := b.chat("r1", "")
				b.Equal(err != nil, fault.fails)
				b.Equal(status, fault.status)
				b.True(strings.Contains(body, fault.text))
			})
		})
	}
	t.Run("mute", func(t *testing.T) {
		run(t, standard(), func(b bench) {
			b.engine.Inject(&endpoint.Mute{})
			conn := b.send("POST", engine.ChatPath, "r1", "", streamed)
			b.NoErr(conn.SetReadDeadline(time.Now().Add(time.Hour)))
			_, err := io.ReadAll(conn)
			b.True(err != nil)
			conn.Close()
		})
	})
}

func TestLimits(t *testing.T) {
	run(t, standard(), func(b bench) {
		b.engine.TurnCold()
		time.Sleep(time.Second)
		first, second := b.send("POST", engine.ChatPath, "r1", "", streamed), b.send("POST", engine.ChatPath, "r2", "", streamed)
		time.Sleep(time.Second)
		history := b.engine.History()
		b.Equal(len(history.Excesses(0)), 1)
		b.Equal(len(history.Excesses(2*time.Second)), 0)
		b.Equal(history.HighWater(true), 2)
		b.Equal(history.Events[len(history.Events)-1].Kind, endpoint.LimitSet) // Two completed runs make it warm.
		first.Close()
		second.Close()
	})
}

func TestRestart(t *testing.T) {
	run(t, standard(), func(b bench) {
		before := b.engine.Load()
		conn := b.send("POST", engine.ChatPath, "r1", "", streamed)
		time.Sleep(50 * time.Millisecond)
		b.Equal(b.engine.Load().InFlight, 0) // The report lags.
		b.engine.Restart()
		_, err := io.ReadAll(conn)
		b.True(err == nil || errors.Is(err, io.ErrClosedPipe))
		after := b.engine.Load()
		b.True(after.Cold && after.Start != before.Start)
		b.Equal(b.engine.History().Count(endpoint.BrokenRun), 1)
		status, _, err := b.chat("r1", "1")
		b.NoErr(err)
		b.Equal(status, 404) // A new start knows no earlier generation.
	})
}
