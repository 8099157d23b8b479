package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/io/http1"
)

const (
	maxEvent      = 4 << 20   // maxEvent bounds one line of a watch in bytes.
	eventBuffer   = 64 << 10  // eventBuffer is the size of a line that needs no new buffer.
	maxErrorBytes = 256 << 10 // maxErrorBytes bounds the body of a refused watch.
)

// Watch calls handle for each change of a kind after fromVersion, until handle or the watch fails or ctx ends.
//
// A watch that says nothing for the client's silence time ends with ErrSilent.
// With an empty fromVersion it tells of all present objects first.
func (c *Client) Watch(ctx context.Context, kind Kind, fromVersion string, handle func(Event) error) error {
	c.calls.Add(1)
	dialing, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	conn, err := c.config.Dial(dialing, c.config.Address)
	if err != nil {
		return &ErrUnavailable{Cause: err}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	err = c.watch(conn, kind, fromVersion, handle)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (c *Client) watch(conn net.Conn, kind Kind, fromVersion string, handle func(Event) error) error {
	if err := c.askWatch(conn, kind, fromVersion); err != nil {
		return &ErrUnavailable{Cause: err}
	}
	in := bufio.NewReader(conn)
	var header fasthttp.ResponseHeader
	if err := http1.ReadHeader(in, &header); err != nil {
		if http1.IsMalformed(err) {
			c.countMalformed()
		}
		return &ErrUnavailable{Cause: err}
	}
	if header.StatusCode() != http.StatusOK {
		return refusedWatch(&header, in)
	}
	if err := handle(Event{Type: Bookmark, Object: Object{Version: fromVersion}}); err != nil {
		return err
	}
	return c.readEvents(conn, httputil.NewChunkedReader(in), handle)
}

func (c *Client) askWatch(conn net.Conn, kind Kind, fromVersion string) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	query := url.Values{"watch": {"1"}, "allowWatchBookmarks": {"true"}}
	if fromVersion != "" {
		query.Set("resourceVersion", fromVersion)
	}
	request.SetRequestURI(c.path(kind, "") + "?" + query.Encode())
	request.Header.SetHost(c.config.Address.String())
	if err := conn.SetDeadline(time.Now().Add(c.config.Timeout)); err != nil {
		return err
	}
	out := bufio.NewWriter(conn)
	if err := request.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

func refusedWatch(header *fasthttp.ResponseHeader, in *bufio.Reader) error {
	size := header.ContentLength()
	if size < 0 || size > maxErrorBytes {
		return &ErrUnavailable{Cause: fmt.Errorf("HTTP status %d", header.StatusCode())}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(in, body); err != nil {
		return &ErrUnavailable{Cause: err}
	}
	return statusError(header.StatusCode(), body, false)
}

func (c *Client) readEvents(conn net.Conn, body io.Reader, handle func(Event) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, eventBuffer), maxEvent)
	for {
		if err := conn.SetDeadline(time.Now().Add(c.config.Silence)); err != nil {
			return &ErrUnavailable{Cause: err}
		}
		if !lines.Scan() {
			return endOfWatch(lines.Err())
		}
		event, err := parseEvent(lines.Bytes())
		if err != nil {
			return err
		}
		if err := handle(event); err != nil {
			return err
		}
	}
}

func endOfWatch(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrSilent
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return ErrSilent
	}
	if err == nil {
		err = io.EOF
	}
	return &ErrUnavailable{Cause: err}
}

func parseEvent(line []byte) (Event, error) {
	var wire WireEvent
	if err := json.Unmarshal(line, &wire); err != nil {
		return Event{}, &ErrUnavailable{Cause: err}
	}
	if wire.Type == failed {
		return Event{}, statusError(http.StatusGone, wire.Object, false)
	}
	var object Wire
	if err := json.Unmarshal(wire.Object, &object); err != nil {
		return Event{}, &ErrUnavailable{Cause: err}
	}
	return Event{Type: wire.Type, Object: fromWire(object)}, nil
}
