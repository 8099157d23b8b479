package http1_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/io/http1"
)

// readResponse reads an answer from text.
func readResponse(text string) (*fasthttp.Response, error) {
	resp := &fasthttp.Response{}
	return resp, http1.ReadResponse(bufio.NewReader(strings.NewReader(text)), resp, 1<<10)
}

// breaks checks that the head of an answer is rejected for one line, by one rule.
func breaks(t *testing.T, text string, rule http1.Rule, line string) {
	t.Helper()
	is := is.New(t)
	_, err := readResponse(text)
	var broken *http1.ErrHead
	is.True(errors.As(err, &broken))
	is.Equal(broken.Rule, rule)
	is.Equal(broken.Line, line)
}

func TestStatusLines(t *testing.T) {
	for line, rule := range map[string]http1.Rule{
		"HTTP/1.1 000 X":                   http1.RuleStatusCode,
		"HTTP/1.1 099":                     http1.RuleStatusCode,
		"HTTP/1.1 600 X":                   http1.RuleStatusCode,
		"HTTP/1.1 101 Switching Protocols": http1.RuleUpgrade,
		"HTTP/1.1 20 X":                    http1.RuleStatusLine,
		"HTTP/1.1 2000 X":                  http1.RuleStatusLine,
		"HTTP/2.0 200 OK":                  http1.RuleStatusLine,
		"HTTP/1.1 200 \x01":                http1.RuleStatusLine,
		"":                                 http1.RuleStatusLine,
	} {
		t.Run(line, func(t *testing.T) {
			breaks(t, line+"\r\nContent-Length: 0\r\n\r\n", rule, line)
			breaks(t, "HTTP/1.1 103 X\r\n\r\n"+line+"\r\nContent-Length: 0\r\n\r\n", rule, line)
		})
	}
	t.Run("without CR", func(t *testing.T) {
		breaks(t, "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n", http1.RuleLineEnd, "HTTP/1.1 200 OK")
	})
}

func TestFields(t *testing.T) {
	for line, rule := range map[string]http1.Rule{
		"X Foo: 1":              http1.RuleFieldName,
		"X-Foo : 1":             http1.RuleFieldName,
		"X\x01Foo: 1":           http1.RuleFieldName,
		": 1":                   http1.RuleFieldName,
		"X-Foo":                 http1.RuleFieldName,
		" X-Foo: 1":             http1.RuleFolding,
		"\tX-Foo: 1":            http1.RuleFolding,
		"X-Foo: \x00":           http1.RuleFieldValue,
		"X-Foo: a\rb":           http1.RuleFieldValue,
		"Content-Length: 0\r":   http1.RuleFieldValue,
		"Transfer-Encoding: \v": http1.RuleFieldValue,
	} {
		t.Run(line, func(t *testing.T) {
			breaks(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 0\r\n\r\n", rule, line)
			breaks(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+line+"\r\n\r\n", rule, line)
			breaks(t, "HTTP/1.1 103 X\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", rule, line)
		})
	}
	t.Run("without CR", func(t *testing.T) {
		breaks(t, "HTTP/1.1 200 OK\r\nX-Foo: 1\nContent-Length: 0\r\n\r\n", http1.RuleLineEnd, "X-Foo: 1")
	})
}

func TestHTTP10HasNoChunks(t *testing.T) {
	breaks(t, "HTTP/1.0 200 OK\r\ntransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http1.RuleChunks, "transfer-Encoding: chunked")
}

// An error quotes a bounded part of the line that breaks a rule, and no control byte as it came.
func TestErrorQuotesABoundedPart(t *testing.T) {
	is := is.New(t)
	_, err := readResponse("HTTP/1.1 200 OK\r\nX\x00" + strings.Repeat("y", 1000) + ": 1\r\n\r\n")
	is.Equal(err.Error(), `head of answer breaks rule field_name: "X\x00`+strings.Repeat("y", 62)+`"...`)
}

// A head that ends early, or that is longer than the buffer, breaks no rule, but is no answer either.
func TestIncompleteHeads(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]error{"": io.EOF, "HTTP/1.1 200 OK": io.ErrUnexpectedEOF, "HTTP/1.1 200 OK\r\nX-Foo: 1\r\n": io.ErrUnexpectedEOF} {
		_, err := readResponse(text)
		is.True(errors.Is(err, want))
		is.True(!http1.IsMalformed(err))
	}
	_, err := readResponse("HTTP/1.1 200 OK\r\nX-Foo: " + strings.Repeat("x", 1<<20))
	is.True(err != nil)
}

// Interim answers are discarded, up to a limit.
func TestInterimAnswers(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	interim := func(count int) string { return strings.Repeat("HTTP/1.1 103 X\r\nLink: a\r\n\r\n", count) }
	t.Run("100", func(t *testing.T) {
		is := is.New(t)
		resp, err := readResponse(interim(100) + final)
		is.NoErr(err)
		is.Equal(string(resp.Body()), "ok")
		is.Equal(len(resp.Header.Peek("Link")), 0)
	})
	t.Run("101", func(t *testing.T) { breaks(t, interim(101)+final, http1.RuleInterim, "") })
}

// ReadHeader leaves the body in the reader.
func TestReadHeader(t *testing.T) {
	is := is.New(t)
	r := bufio.NewReader(strings.NewReader("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nok"))
	var header fasthttp.ResponseHeader
	is.NoErr(http1.ReadHeader(r, &header))
	is.Equal(header.StatusCode(), 404)
	rest, err := io.ReadAll(r)
	is.NoErr(err)
	is.Equal(string(rest), "ok")
}

func BenchmarkReadResponse(b *testing.B) {
	text := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Some-Field: a value of usual length\r\n", 10) + "Content-Length: 2\r\n\r\nok"
	source, resp := strings.NewReader(text), &fasthttp.Response{}
	r := bufio.NewReader(source)
	for name, read := range map[string]func() error{
		"checked": func() error { return http1.ReadResponse(r, resp, 1<<10) },
		"parsed":  func() error { return resp.ReadLimitBody(r, 1<<10) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				source.Reset(text)
				r.Reset(source)
				if err := read(); err != nil {
					b.Fatal(fmt.Errorf("reading: %w", err))
				}
			}
		})
	}
}
