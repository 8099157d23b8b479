package endpoint

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/core/cell"
	"ryelug/core/holding"
)

// Defaults of Config; sizes are in bytes.
const (
	defaultConnectTimeout = time.Second
	defaultFirstTimeout   = 30 * time.Second
	defaultEventTimeout   = 5 * time.Second
	defaultWriteTimeout   = 5 * time.Second
	defaultIdleReuse      = 100 * time.Millisecond
	defaultIdleKeep       = 30 * time.Second
	defaultMaxIdle        = 1024
	defaultMaxHeader      = 8 << 10
	defaultMaxBody        = 16 << 20
	defaultMaxEvent       = 1 << 20
	defaultMaxHeld        = 64 << 20
)

// Config configures a Client; zero fields get defaults unless their comment says otherwise.
type Config struct {
	Dialect Dialect // Dialect describes the protocol of the endpoints; zero is that of the product's own endpoints.
	// Dial opens a connection; nil dials TCP.
	Dial           func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	ConnectTimeout time.Duration   // ConnectTimeout bounds dialling a connection plus fetching the first load report on it.
	AnswerTimeout  time.Duration   // AnswerTimeout bounds the wait for the header of an answer; zero leaves it to the context.
	FirstTimeout   time.Duration   // FirstTimeout bounds the wait for the first event of a stream.
	EventTimeout   time.Duration   // EventTimeout bounds the wait for each later event.
	WriteTimeout   time.Duration   // WriteTimeout bounds sending a call.
	IdleReuse      time.Duration   // IdleReuse is the longest idle time after which a connection is reused without a new load report.
	IdleKeep       time.Duration   // IdleKeep is the idle time after which a connection is closed.
	MaxIdle        int             // MaxIdle limits the idle connections to all endpoints together.
	MaxHeader      int             // MaxHeader limits the header of an answer, in bytes.
	MaxBody        int             // MaxBody limits the body of an answer that is no stream, in bytes.
	MaxEvent       int             // MaxEvent limits one event of a stream, in bytes.
	Budget         *holding.Budget // Budget bounds the bytes that the process holds for its peers; nil means no bound.
	MaxBuffered    int             // MaxBuffered limits the bytes buffered for all answers and events that are being read, together.
}

// Client sends calls to endpoints; it never sends a call twice.
// Its methods may be called by several goroutines at once.
type Client struct {
	config Config

	holds          holds        // Starts of endpoints that want nothing from this router.
	buffered       atomic.Int64 // Bytes buffered for answers and events that are being read.
	tooLongCount   atomic.Int64 // Number of answers given up because they exceeded a limit.
	malformedCount atomic.Int64 // Number of answers rejected because their head broke a rule.

	mu        sync.Mutex
	idle      map[poolKey][]*conn // Idle connections; the one used last is at the end of its slice.
	idleCount int                 // Number of connections in idle.
}

// poolKey identifies a pool of idle connections. Connections to different starts of one endpoint
// are pooled separately, since a call is valid for one start only.
type poolKey struct {
	address netip.AddrPort
	start   cell.StartID
}

// New returns a Client; it connects to nothing until the first call.
func New(config Config) *Client {
	config.ConnectTimeout = cmp.Or(config.ConnectTimeout, defaultConnectTimeout)
	config.FirstTimeout = cmp.Or(config.FirstTimeout, defaultFirstTimeout)
	config.EventTimeout = cmp.Or(config.EventTimeout, defaultEventTimeout)
	config.WriteTimeout = cmp.Or(config.WriteTimeout, defaultWriteTimeout)
	config.IdleReuse = cmp.Or(config.IdleReuse, defaultIdleReuse)
	config.IdleKeep = cmp.Or(config.IdleKeep, defaultIdleKeep)
	config.MaxIdle = cmp.Or(config.MaxIdle, defaultMaxIdle)
	config.MaxHeader = cmp.Or(config.MaxHeader, defaultMaxHeader)
	config.MaxBody = cmp.Or(config.MaxBody, defaultMaxBody)
	config.MaxEvent = cmp.Or(config.MaxEvent, defaultMaxEvent)
	config.MaxBuffered = cmp.Or(config.MaxBuffered, defaultMaxHeld)
	if config.Dialect == (Dialect{}) {
		config.Dialect = ownDialect
	}
	if config.Dial == nil {
		config.Dial = dialTCP
	}
	return &Client{config: config, idle: make(map[poolKey][]*conn)}
}

// MalformedAnswers returns the number of answers rejected since the client was created because their head broke a rule of
// package http1.
func (c *Client) MalformedAnswers() int64 { return c.malformedCount.Load() }

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address.String())
}

// Send sends call once and returns its answer; ctx bounds reading the whole answer, streams included.
// Its errors are *ErrNotSent, *ErrHeld, *ErrStartChanged, *ErrRefused and *ErrUnknown.
func (c *Client) Send(ctx context.Context, call Call) (*Answer, error) {
	if err := c.holds.check(time.Now(), &call); err != nil {
		return nil, err
	}
	link, err := c.acquire(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := c.holds.check(time.Now(), &call); err != nil { // Another answer may have come while this call connected.
		c.putIdle(link.key(), link)
		return nil, err
	}
	if !call.Expires.IsZero() && !time.Now().Before(call.Expires) {
		c.putIdle(link.key(), link)
		return nil, &ErrNotSent{Endpoint: call.Endpoint, Expired: true, Err: errors.New("the grant has expired")}
	}
	detach := context.AfterFunc(ctx, link.close)
	answer, err := c.exchange(link, call, detach)
	if err != nil {
		detach()
		link.close()
		return nil, markTimeout(ctx, err)
	}
	return answer, nil
}

// markTimeout sets Timeout on an ErrUnknown if the deadline of ctx has passed.
func markTimeout(ctx context.Context, err error) error {
	var unknown *ErrUnknown
	if errors.As(err, &unknown) && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		unknown.Timeout = true
	}
	return err
}

// Load fetches the load report of the endpoint at address, on a pooled connection that carries reports only.
func (c *Client) Load(ctx context.Context, address netip.AddrPort) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	key := poolKey{address, reportPoolStart}
	link := c.takeIdle(key)
	if link != nil && (!link.stopWatch() || !c.refreshLoad(ctx, link)) {
		link.close()
		link = nil
	}
	if link == nil {
		var err error
		if link, err = c.connect(ctx, address); err != nil {
			return Load{}, err
		}
	}
	load := link.load
	c.putIdle(key, link)
	return load, nil
}

// Kept asks the engine at address which prompt parts it has cached, on a new connection. It returns nil
// if the dialect has no such query, and an error if the answer is missing, malformed or has another status than 200.
func (c *Client) Kept(ctx context.Context, address netip.AddrPort) ([]cell.Part, error) {
	query := c.config.Dialect.Kept
	if query == nil {
		return nil, nil
	}
	link, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer link.close()
	stop := context.AfterFunc(ctx, link.close)
	defer stop()
	if err := link.send(link.newRequest(fasthttp.MethodGet, query.Path())); err != nil {
		return nil, err
	}
	resp := &fasthttp.Response{}
	if err := link.read(resp, c.config.MaxBody); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("engine at %s answered the query for cached prompt parts with status %d", address, resp.StatusCode())
	}
	return query.Read(resp.Body())
}

// reportPoolStart takes the place of the start in the pool key of connections that carry load reports only.
// It begins with a zero byte, so that it differs from the start of any endpoint.
const reportPoolStart cell.StartID = "\x00reports"

// Cancel asks the endpoint at address, on a new connection, to stop a request whose caller has gone.
// It returns an error if the endpoint sends no valid answer within ConnectTimeout.
func (c *Client) Cancel(ctx context.Context, address netip.AddrPort, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	link, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	defer link.close()
	stop := context.AfterFunc(ctx, link.close)
	defer stop()
	return link.cancel(requestID)
}

// acquire returns a usable connection for the call: an idle one to the start that the grant is for, or a new one.
// It returns ErrStartChanged if the endpoint reports another start.
func (c *Client) acquire(ctx context.Context, call Call) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	if call.Start != "" {
		if link := c.takeReusable(ctx, call); link != nil {
			return link, nil
		}
	}
	link, err := c.connect(ctx, call.Address)
	if err != nil {
		return nil, &ErrNotSent{Endpoint: call.Endpoint, Err: err}
	}
	if !c.config.Dialect.Reports {
		link.load.Start = call.Start // Without load reports the start is not known; the endpoint itself rejects calls meant for another start.
	}
	if call.Start != "" && link.load.Start != call.Start {
		c.putIdle(link.key(), link)
		return nil, &ErrStartChanged{Endpoint: call.Endpoint, Want: call.Start, Have: link.load.Start}
	}
	return link, nil
}

// takeReusable returns an idle connection to the start that the grant is for, or nil. It closes idle connections
// that are no longer usable.
func (c *Client) takeReusable(ctx context.Context, call Call) *conn {
	for {
		link := c.takeIdle(poolKey{call.Address, call.Start})
		if link == nil {
			return nil
		}
		idle := time.Since(link.idleSince)
		isExpiring := link.keepAliveTime > 0 && idle > link.keepAliveTime-keepAliveMargin
		if !link.stopWatch() || isExpiring || (call.Fresh && idle > c.config.IdleReuse) {
			link.close()
			continue
		}
		if !c.config.Dialect.Reports || idle <= c.config.IdleReuse || (c.refreshLoad(ctx, link) && link.load.Start == call.Start) {
			return link
		}
		link.close()
	}
}

// refreshLoad fetches a new load report on an idle connection and reports whether that succeeded.
// An idle connection can be dead without any sign, so it is tested before a call is sent on it.
func (c *Client) refreshLoad(ctx context.Context, link *conn) bool {
	stop := context.AfterFunc(ctx, link.close)
	defer stop()
	link.setDeadline(time.Now().Add(c.config.ConnectTimeout / refreshTimeoutDivisor))
	err := link.fetchLoad()
	link.setDeadline(time.Time{})
	return err == nil
}

// refreshTimeoutDivisor is the divisor of ConnectTimeout that limits the wait for a report on an idle connection;
// the rest of the time is left for dialling a new one.
const refreshTimeoutDivisor = 4

// connect dials the endpoint and, if the dialect has load reports, fetches one to learn the endpoint's start.
func (c *Client) connect(ctx context.Context, address netip.AddrPort) (*conn, error) {
	link, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if !c.config.Dialect.Reports {
		return link, nil
	}
	stop := context.AfterFunc(ctx, link.close)
	defer stop()
	if err := link.fetchLoad(); err != nil {
		link.close()
		return nil, fmt.Errorf("no load report from endpoint at %s: %w", address, err)
	}
	return link, nil
}

func (c *Client) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	raw, err := c.config.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.newConn(raw, address), nil
}
