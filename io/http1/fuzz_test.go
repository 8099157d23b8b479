package http1_test

import (
	"bufio"
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/io/http1"
)

// headForm is what the bytes of a head say, without regard to the values of most fields.
type headForm struct {
	status int
	names  []string // names are those of the fields, in lower case, sorted, each once.
	length int      // length is that of the body: -1 for chunks, -2 for the end of the connection.
}

// framingNames are fields that parsers keep apart from the others, or leave out.
var framingNames = []string{"connection", "content-length", "content-type", "server", "trailer", "transfer-encoding"}

// newHeadForm returns the form of a head with the given field names.
func newHeadForm(status, length int, names map[string]bool) headForm {
	for _, name := range framingNames {
		delete(names, name)
	}
	return headForm{status: status, length: length, names: slices.Sorted(maps.Keys(names))}
}

// splitHead parses the final head of a well-formed answer by splitting its text.
func splitHead(text string) headForm {
	for {
		head, rest, _ := strings.Cut(text, "\r\n\r\n")
		lines := strings.Split(head, "\r\n")
		status, _ := strconv.Atoi(lines[0][9:12])
		if status < 200 {
			text = rest
			continue
		}
		length, names := -2, map[string]bool{}
		for _, line := range lines[1:] {
			name, value, _ := strings.Cut(line, ":")
			name, value = strings.ToLower(name), strings.Trim(value, " \t")
			names[name] = true
			if name == "content-length" && length != -1 {
				length, _ = strconv.Atoi(value)
			}
			if name == "transfer-encoding" {
				length = -1
			}
		}
		return newHeadForm(status, length, names)
	}
}

// FuzzReadHeader checks that each head that is accepted means the same to the parsers of fasthttp and net/http as its text.
func FuzzReadHeader(f *testing.F) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 503", "HTTP/1.0 200 OK", "HTTP/1.1 000 X", "HTTP/1.1 204 No Content", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK"} {
		for _, fields := range []string{
			"", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "Content-Length : 2\r\n",
			"X Foo: 1\r\n", "X-Foo:\r\nx-foo: \t1 \r\n", "X-Foo: 1\r\n 2\r\n", "Connection: close, X-Foo\r\nX-Foo: \xe9\r\n", "Set-Cookie: a=b\r\nServer: s\r\n",
			"Content-Length: +2\r\n", "Content-Length: 2\r\nContent-Length: 2\r\n", "Transfer-Encoding: gzip, chunked\r\n", "X-Foo: 1\n",
		} {
			f.Add([]byte(line + "\r\n" + fields + "\r\n{}"))
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		is := is.New(t)
		r, header := bufio.NewReaderSize(bytes.NewReader(text), 1<<12), &fasthttp.ResponseHeader{}
		if http1.ReadHeader(r, header) != nil {
			return
		}
		want := splitHead(string(text))
		names := map[string]bool{}
		for name := range header.All() {
			names[strings.ToLower(string(name))] = true
		}
		length := header.ContentLength()
		if isBodyless := want.status == 204 || want.status == 304; isBodyless {
			length = want.length
		}
		is.Equal(newHeadForm(header.StatusCode(), length, names), want)

		rest := text
		for isInterim(rest) {
			_, rest, _ = bytes.Cut(rest, []byte("\r\n\r\n"))
		}
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(rest)), nil)
		if err != nil {
			return
		}
		resp.Body.Close()
		names = map[string]bool{}
		for name := range resp.Header {
			names[strings.ToLower(name)] = true
		}
		is.Equal(newHeadForm(resp.StatusCode, want.length, names), want)
	})
}

// isInterim reports whether text begins with the head of an interim answer.
func isInterim(text []byte) bool { return text[len("HTTP/1.1 ")] == '1' }
