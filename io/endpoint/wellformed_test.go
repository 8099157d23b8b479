package endpoint_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ryelug/io/endpoint"
	"ryelug/io/header"
)

// Well-formed answers are accepted in each of their forms.
func TestWellFormedHeadsAreAnswers(t *testing.T) {
	fields := map[string]string{
		"none":                      "",
		"every token character":     "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz: 1\r\n",
		"empty value":               "X-Foo:\r\n",
		"spaces around the value":   "X-Foo: \t 1 \t \r\n",
		"no space before the value": "X-Foo:1\r\n",
		"byte above 127 in a value": "X-Foo: caf\xe9\r\n",
		"tab and spaces in a value": "X-Foo: a\tb  c:d\r\n",
		"field twice":               "X-Foo: 1\r\nX-Foo: 2\r\n",
		"name of one character":     "X: 1\r\n",
		"more than a read's bytes":  strings.Repeat("X-Foo: "+strings.Repeat("x", 100)+"\r\n", 50),
		"name like a length":        "X-Content-Length: 1\r\n",
	}
	for name, more := range fields {
		for framing, rest := range framings {
			t.Run(name+", "+framing, func(t *testing.T) {
				is.New(t).Equal(send(t, "HTTP/1.1 200 OK\r\n"+ownFields+more+rest), "")
			})
		}
	}
	heads := map[string]string{
		"no reason phrase":           "HTTP/1.1 200\r\n",
		"empty reason phrase":        "HTTP/1.1 200 \r\n",
		"reason phrase of words":     "HTTP/1.1 200 it is \xe9 \t done\r\n",
		"undefined status":           "HTTP/1.1 299 X\r\n",
		"interim answer":             "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n",
		"several interim answers":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.0, which closes":     "HTTP/1.0 200 OK\r\n",
		"last of the valid statuses": "HTTP/1.1 599 X\r\n",
	}
	for name, head := range heads {
		for framing, rest := range framings {
			if strings.Contains(framing, "chunks") && strings.HasPrefix(head, "HTTP/1.0") {
				continue
			}
			t.Run(name+", "+framing, func(t *testing.T) {
				is.New(t).Equal(send(t, head+ownFields+rest), "")
			})
		}
	}
}

// The same answers are accepted if their bytes arrive one by one, or in two reads that split them anywhere.
func TestWellFormedHeadInPieces(t *testing.T) {
	const text = "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n" + ownFields + "X-Foo: 1\r\nContent-Length: 2\r\n\r\n{}"
	check := func(t *testing.T, pieces ...string) {
		t.Helper()
		is := is.New(t)
		client := endpoint.New(endpoint.Config{Dialect: verbatimDialect, Dial: pipeDialer(pieces)})
		got, err := client.Send(t.Context(), endpoint.Call{Endpoint: "e", RequestID: "a", Method: "GET", Path: "/"})
		is.NoErr(err)
		is.Equal(got.Status, 200)
		is.Equal(string(got.Body), "{}")
		is.True(slices.Contains(got.Header, header.Field{Name: "X-Foo", Value: "1"}))
		is.True(!slices.Contains(got.Header, header.Field{Name: "A", Value: "b"})) // A field of the interim answer.
	}
	t.Run("byte by byte", func(t *testing.T) { check(t, strings.Split(text, "")...) })
	for i := 1; i < len(text); i++ {
		check(t, text[:i], text[i:])
	}
}
