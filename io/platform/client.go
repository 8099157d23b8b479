package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/io/http1"
)

const (
	defaultTimeout = 2 * time.Second
	defaultSilence = 30 * time.Second
	maxConnections = 16
	maxBody        = 64 << 20 // maxBody bounds an answer in bytes; a list of all parts is the largest.
	idleConnection = 10 * time.Second
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Config says where the platform is and how long to wait for it.
type Config struct {
	Address     netip.AddrPort
	Environment string
	Timeout     time.Duration // Timeout bounds a dial, and a call whose context has no deadline; 2 s by default.
	Silence     time.Duration // Silence bounds the time between events of a watch; 30 s by default.
	Dial        DialFunc      // Dial opens connections; TCP by default.
}

// Client calls the platform for one environment.
type Client struct {
	config    Config
	http      *fasthttp.HostClient
	calls     atomic.Int64
	malformed atomic.Int64
}

// New returns a client; it opens connections when they are needed.
func New(config Config) *Client {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	if config.Silence == 0 {
		config.Silence = defaultSilence
	}
	if config.Dial == nil {
		config.Dial = dialTCP
	}
	c := &Client{config: config}
	c.http = &fasthttp.HostClient{
		Addr:                      config.Address.String(),
		Dial:                      c.dial,
		MaxConns:                  maxConnections,
		MaxConnWaitTimeout:        config.Timeout,
		MaxIdleConnDuration:       idleConnection,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxBody,
		NoDefaultUserAgentHeader:  true,
	}
	return c
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address.String())
}

func (c *Client) dial(string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.config.Timeout)
	defer cancel()
	conn, err := c.config.Dial(ctx, c.config.Address)
	if err != nil {
		return nil, err
	}
	return http1.HalfDuplexConn{Conn: http1.NewConn(conn, c.countMalformed)}, nil
}

func (c *Client) countMalformed() { c.malformed.Add(1) }

// Environment returns the environment that the client calls for.
func (c *Client) Environment() string {
	return c.config.Environment
}

// Calls returns the number of calls made so far, a watch counted as one.
func (c *Client) Calls() int64 {
	return c.calls.Load()
}

// MalformedAnswers returns the number of answers rejected so far because their head broke a rule of package http1.
func (c *Client) MalformedAnswers() int64 {
	return c.malformed.Load()
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return c.object(ctx, call{method: http.MethodGet, path: c.path(kind, name)})
}

// Head reads one object without its data.
func (c *Client) Head(ctx context.Context, kind Kind, name string) (Object, error) {
	return c.object(ctx, call{method: http.MethodGet, path: c.path(kind, name), accept: MetadataOnly})
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, kind Kind) (List, error) {
	return c.list(ctx, call{method: http.MethodGet, path: c.path(kind, "")})
}

// ListNames reads all objects of a kind without their data.
func (c *Client) ListNames(ctx context.Context, kind Kind) (List, error) {
	return c.list(ctx, call{method: http.MethodGet, path: c.path(kind, ""), accept: MetadataOnly})
}

// Create writes an object that must not be there yet.
func (c *Client) Create(ctx context.Context, kind Kind, o Object) (Object, error) {
	o.Version = ""
	return c.object(ctx, call{method: http.MethodPost, path: c.path(kind, ""), body: toWire(kind, o)})
}

// Update replaces an object if it still has the version of o.
func (c *Client) Update(ctx context.Context, kind Kind, o Object) (Object, error) {
	return c.object(ctx, call{method: http.MethodPut, path: c.path(kind, o.Name), body: toWire(kind, o)})
}

// Delete removes an object, only if it still has the version if one is given.
func (c *Client) Delete(ctx context.Context, kind Kind, name, version string) error {
	var options DeleteOptions
	options.Preconditions.ResourceVersion = version
	_, err := c.do(ctx, call{method: http.MethodDelete, path: c.path(kind, name), body: options})
	return err
}

func (c *Client) path(kind Kind, name string) string {
	path := PathPrefix + url.PathEscape(c.config.Environment) + "/" + string(kind)
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

// call is one request to the platform.
type call struct {
	method string
	path   string
	accept string
	body   any
}

func (c *Client) object(ctx context.Context, one call) (Object, error) {
	body, err := c.do(ctx, one)
	if err != nil {
		return Object{}, err
	}
	var wire Wire
	if err := json.Unmarshal(body, &wire); err != nil {
		return Object{}, &ErrUnavailable{Unknown: one.writes(), Cause: err}
	}
	return fromWire(wire), nil
}

func (c *Client) list(ctx context.Context, one call) (List, error) {
	body, err := c.do(ctx, one)
	if err != nil {
		return List{}, err
	}
	var wire WireList
	if err := json.Unmarshal(body, &wire); err != nil {
		return List{}, &ErrUnavailable{Cause: err}
	}
	list := List{Version: wire.Metadata.ResourceVersion, Items: make([]Object, len(wire.Items))}
	for i, item := range wire.Items {
		list.Items[i] = fromWire(item)
	}
	return list, nil
}

func (one call) writes() bool {
	return one.method != http.MethodGet
}

// do sends one request once and returns the body of a successful answer.
func (c *Client) do(ctx context.Context, one call) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, &ErrUnavailable{Cause: err}
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if err := c.fill(request, one); err != nil {
		return nil, err
	}
	c.calls.Add(1)
	deadline, found := ctx.Deadline()
	if !found {
		deadline = time.Now().Add(c.config.Timeout)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		c.http.CloseIdleConnections() // Others may have gone silent with this one.
		return nil, &ErrUnavailable{Unknown: one.writes() && !isDialError(err), Cause: err}
	}
	body := append([]byte(nil), response.Body()...)
	if code := response.StatusCode(); code >= http.StatusMultipleChoices {
		return nil, statusError(code, body, one.writes())
	}
	return body, nil
}

func (c *Client) fill(request *fasthttp.Request, one call) error {
	request.Header.SetMethod(one.method)
	request.SetRequestURI(one.path)
	request.Header.SetHost(c.config.Address.String())
	if one.accept != "" {
		request.Header.Set(fasthttp.HeaderAccept, one.accept)
	}
	if one.body == nil {
		return nil
	}
	data, err := json.Marshal(one.body)
	if err != nil {
		return err
	}
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(data)
	return nil
}

// isDialError reports whether nothing of the request was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
