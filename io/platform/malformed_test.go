package platform_test

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/io/platform"
	"ryelug/standin/raw"
)

// newRawClient returns a client of a server that calls serve for each connection.
func newRawClient(t *testing.T, serve func(net.Conn)) *platform.Client {
	t.Helper()
	s, err := raw.Start(serve)
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	return platform.New(platform.Config{Address: s.Address(), Environment: "trial", Timeout: time.Second})
}

// calls are calls of each method, and whether it writes.
var calls = map[string]struct {
	call   func(t *testing.T, c *platform.Client) error
	writes bool
}{
	"get": {func(t *testing.T, c *platform.Client) error {
		_, err := c.Get(t.Context(), platform.Calls, "a")
		return err
	}, false},
	"list": {func(t *testing.T, c *platform.Client) error {
		_, err := c.List(t.Context(), platform.Calls)
		return err
	}, false},
	"create": {func(t *testing.T, c *platform.Client) error {
		_, err := c.Create(t.Context(), platform.Calls, object)
		return err
	}, true},
	"update": {func(t *testing.T, c *platform.Client) error {
		_, err := c.Update(t.Context(), platform.Calls, object)
		return err
	}, true},
	"delete": {func(t *testing.T, c *platform.Client) error { return c.Delete(t.Context(), platform.Calls, "a", "1") }, true},
}

var object = platform.Object{Name: "a", Version: "1", Data: []byte("{}")}

// malformedHeads are heads that break a rule, without their empty lines.
var malformedHeads = []string{
	"HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 101 X\r\n", "HTTP/1.1 200 OK\r\nX Foo: 1\r\n", "HTTP/1.1 200 OK\r\nX-Foo : 1\r\n", "HTTP/1.1 200 OK\r\nX\x01Foo: 1\r\n",
	"HTTP/1.1 200 OK\r\n X-Foo: 1\r\n", "HTTP/1.1 103 X\r\nX Foo: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// A write whose answer has a malformed head must not be taken for acknowledged, nor a read for answered.
func TestMalformedAnswerIsNoAcknowledgement(t *testing.T) {
	answers := []string{"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"}
	for _, head := range malformedHeads {
		answers = append(answers, head+"Content-Length: 2\r\n\r\n{}")
	}
	for _, answer := range answers {
		for name, c := range calls {
			t.Run(fmt.Sprintf("%s, %q", name, answer), func(t *testing.T) {
				is := is.New(t)
				err := c.call(t, newRawClient(t, raw.Answer(answer)))
				var unavailable *platform.ErrUnavailable
				is.True(errors.As(err, &unavailable))
				is.Equal(unavailable.Unknown, c.writes)
			})
		}
	}
}

// Only the first bytes of an answer are its head: a body may look like a malformed one, and a connection carries many answers.
func TestWellFormedAnswers(t *testing.T) {
	const body = `{"metadata":{"name":"x y : z"},"data":{"a":"HTTP/1.1 000 X\r\nX Foo: 1"}}`
	client := newRawClient(t, raw.AnswerEach(fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200\r\nX-Foo:\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
	for range 3 {
		for name, c := range calls {
			t.Run(name, func(t *testing.T) { is.New(t).NoErr(c.call(t, client)) })
		}
	}
}

// A watch whose answer has a malformed head fails before it tells of a change.
func TestMalformedWatch(t *testing.T) {
	const event = `{"type":"ADDED","object":{"metadata":{"name":"a"}}}` + "\n"
	watch := func(head string) (events int, err error) {
		client := newRawClient(t, raw.Answer(fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(event), event)))
		err = client.Watch(t.Context(), platform.Hosts, "1", func(platform.Event) error { events++; return nil })
		return events, err
	}
	for _, head := range malformedHeads {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			is := is.New(t)
			events, err := watch(head)
			var unavailable *platform.ErrUnavailable
			is.True(errors.As(err, &unavailable))
			is.Equal(events, 0)
		})
	}
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"} {
		t.Run(fmt.Sprintf("well-formed, %q", head), func(t *testing.T) {
			events, _ := watch(head)
			is.New(t).Equal(events, 2) // A bookmark tells that the watch has begun.
		})
	}
}

// Answers that are rejected for their heads are counted, those of watches too.
func TestMalformedAnswersAreCounted(t *testing.T) {
	is := is.New(t)
	client := newRawClient(t, raw.Answer("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}"))
	for _, c := range calls {
		_ = c.call(t, client)
	}
	_ = client.Watch(t.Context(), platform.Hosts, "1", func(platform.Event) error { return nil })
	is.Equal(client.MalformedAnswers(), int64(len(calls)+1))
}
