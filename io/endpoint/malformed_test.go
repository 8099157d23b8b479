package endpoint_test

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/io/endpoint"
	"ryelug/standin/raw"
)

// startRaw starts a server that calls serve for each connection, and returns its address.
func startRaw(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	s, err := raw.Start(serve)
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	return s.Address()
}

// framings are the ways in which an answer can state where its body ends; each text follows the fields of the header.
var framings = map[string]string{
	"length":           "Content-Length: 2\r\n\r\n{}",
	"chunks":           "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"end by closing":   "\r\n{}",
	"stream in chunks": "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n0\r\n\r\n",
	"stream, closed":   "Content-Type: text/event-stream\r\n\r\ndata: x\n\n",
}

// send sends a call to a server that answers with text, reads the answer to its end and returns the kind of the error.
func send(t *testing.T, text string) string {
	t.Helper()
	return sendTo(t, startRaw(t, raw.Answer(text)), []byte("body"))
}

// sendTo sends a call, reads the answer to its end and returns the kind of the error; it is empty for a complete answer.
func sendTo(t *testing.T, address netip.AddrPort, body []byte) string {
	t.Helper()
	call := endpoint.Call{Endpoint: "e", Address: address, RequestID: "a", Method: "POST", Path: "/", Body: body}
	got, err := newVerbatimClient().Send(t.Context(), call)
	if err == nil && got.Events != nil {
		defer got.Events.Close()
		for err == nil {
			_, err = got.Events.Next()
		}
		if err == io.EOF { //nolint:errorlint // Only io.EOF itself is the end of a complete stream.
			return ""
		}
	}
	return verbatimErrorKind(err)
}

const ownFields = "X-Request-Id: a\r\nX-Seal: s\r\n"

// An answer with a status outside 100 to 599, or with a final status of 101, must not be taken for an answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 X", "HTTP/1.1 000", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
		"HTTP/1.1 0 X", "HTTP/1.1 20 X", "HTTP/1.1 1000 X", "HTTP/1.1 00200 X", "HTTP/1.1 +20 X", "HTTP/1.1 2OO X",
		"HTTP/1.1 101 Switching Protocols", "HTTP/9.9 200 OK", "HTTP/1.2 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1", "http/1.1 200 OK", "\r\nHTTP/1.1 200 OK",
	} {
		for framing, rest := range framings {
			t.Run(fmt.Sprintf("%q, %s", line, framing), func(t *testing.T) {
				is.New(t).Equal(send(t, line+"\r\n"+ownFields+rest), "unknown")
			})
		}
	}
}

// A load report, the answer to a cancellation and the report of cached parts are answers too.
func TestInvalidHeadsOfOtherAnswers(t *testing.T) {
	const load, kept = `{"start":"s1"}`, `{}`
	for name, head := range malformedHeads() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer := func(body string) netip.AddrPort {
				return startRaw(t, raw.Answer(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)))
			}
			_, err := newClient().Load(t.Context(), answer(load))
			is.True(err != nil)
			is.True(newClient().Cancel(t.Context(), answer(""), "a") != nil)
			dialect := verbatimDialect
			dialect.Kept = emptyKept{}
			_, err = endpoint.New(endpoint.Config{Dialect: dialect}).Kept(t.Context(), answer(kept))
			is.True(err != nil)
		})
	}
}

// emptyKept is a query for cached parts whose answer is ignored.
type emptyKept struct{}

func (emptyKept) Path() string                     { return "/kept" }
func (emptyKept) Read([]byte) ([]cell.Part, error) { return nil, nil }

// malformedHeads returns heads of answers that break a rule, without their empty lines.
func malformedHeads() map[string]string {
	heads := map[string]string{"status 000": "HTTP/1.1 000 X\r\n", "status 099": "HTTP/1.1 099 X\r\n", "status 600": "HTTP/1.1 600 X\r\n"}
	for _, line := range malformedFields {
		heads[fmt.Sprintf("%q", line)] = "HTTP/1.1 200 OK\r\n" + line + "\r\n"
	}
	return heads
}

// malformedFields are lines of a header whose field names are no tokens.
var malformedFields = []string{
	"X Foo: 1", "X-Foo : 1", "X-Foo   : 1", "X-Foo\t: 1", "Content Length: 1", "Content-Length : 1", "Transfer Encoding: chunked",
	"Transfer-Encoding : chunked", "Connection : close", "X-Request-Id : a", "X-Seal : s", " X-Foo: 1", "\tX-Foo: 1", "X\x01Foo: 1",
	"X\tFoo: 1", "X\x00Foo: 1", "X\x7fFoo: 1", "\x01X-Foo: 1", "X-Foo\x1f: 1", "X\rFoo: 1", "X(Foo): 1", "X\xe9Foo: 1", ": 1", "X-Foo",
}

// An answer with a space or a control byte in a field name must not be taken for an answer, whatever the name looks like
// without that byte and wherever the field stands.
func TestMalformedFieldNameIsNoAnswer(t *testing.T) {
	for _, line := range malformedFields {
		for framing, rest := range framings {
			t.Run(fmt.Sprintf("%q, %s", line, framing), func(t *testing.T) {
				is := is.New(t)
				is.Equal(send(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+ownFields+rest), "unknown")
				is.Equal(send(t, "HTTP/1.1 200 OK\r\n"+ownFields+line+"\r\n"+rest), "unknown")
			})
		}
	}
}

// A refusal with a malformed head must not promise that the call was not run, nor stop later calls to the endpoint.
func TestMalformedRefusalPromisesNothing(t *testing.T) {
	for _, fields := range []string{"X-Refused : 1\r\n", "X-Refused: 1\r\nX Foo: 1\r\n", "X-Refused: 1\r\nX-Leaving : 1\r\n"} {
		t.Run(fields, func(t *testing.T) {
			is.New(t).Equal(send(t, "HTTP/1.1 503 Busy\r\n"+ownFields+fields+"Content-Length: 0\r\n\r\n"), "unknown")
		})
	}
}

// A stream that is resumed has a head of its own, which follows the same rules.
func TestMalformedHeadOfResumedStream(t *testing.T) {
	for name, head := range malformedHeads() {
		t.Run(name, func(t *testing.T) {
			call := endpoint.Call{Endpoint: "e", RequestID: "a", Method: "POST", Path: "/", LastEvent: "3"}
			call.Address = startRaw(t, raw.Answer(head+ownFields+framings["stream in chunks"]))
			_, err := newVerbatimClient().Send(t.Context(), call)
			is.New(t).Equal(verbatimErrorKind(err), "unknown")
		})
	}
}

// A refusal with an invalid status must not promise that the call was not run.
func TestRefusalWithInvalidStatusPromisesNothing(t *testing.T) {
	is.New(t).Equal(send(t, "HTTP/1.1 000 X\r\n"+ownFields+"X-Refused: 1\r\nContent-Length: 0\r\n\r\n"), "unknown")
}

// Answers that are rejected for their heads are counted.
func TestMalformedAnswersAreCounted(t *testing.T) {
	is := is.New(t)
	client := newVerbatimClient()
	call := endpoint.Call{Endpoint: "e", RequestID: "a", Method: "POST", Path: "/"}
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 000 X", "HTTP/1.1 600 X"} {
		call.Address = startRaw(t, raw.Answer(line+"\r\n"+ownFields+framings["length"]))
		_, _ = client.Send(t.Context(), call)
	}
	is.Equal(client.MalformedAnswers(), int64(2))
}

// HTTP/1.0 has no chunks, so a parser that follows its version would take their sizes for the body.
func TestChunksInHTTP10AreNoAnswer(t *testing.T) {
	for _, framing := range []string{"chunks", "stream in chunks"} {
		t.Run(framing, func(t *testing.T) {
			is.New(t).Equal(send(t, "HTTP/1.0 200 OK\r\n"+ownFields+framings[framing]), "unknown")
		})
	}
}
