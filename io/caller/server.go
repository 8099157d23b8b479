package caller

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/io/pause"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerNonIdempotent  = "X-Non-Idempotent"
	headerCostHint       = "X-Cost-Hint"
	headerRequestID      = "X-Request-Id"
	headerReplayed       = "X-Replayed"
	bearerPrefix         = "bearer "
)

// Defaults of a Config.
const (
	defaultReadTimeout  = 10 * time.Second
	defaultWriteTimeout = 30 * time.Second
	defaultIdleTimeout  = time.Minute
	defaultMaxHeader    = 8 << 10
	defaultMaxBody      = 4 << 20
	defaultBuffer       = 64
)

// Config sets up a Server; zero fields take defaults.
type Config struct {
	Handler      Handler
	ReadTimeout  time.Duration                         // ReadTimeout bounds the arrival of a whole request.
	WriteTimeout time.Duration                         // WriteTimeout bounds the time in which a caller takes nothing.
	IdleTimeout  time.Duration                         // IdleTimeout bounds the time between two requests of a connection.
	MaxHeader    int                                   // MaxHeader bounds a request's head, in bytes.
	MaxBody      int                                   // MaxBody bounds a request's body, in bytes.
	Buffer       int                                   // Buffer bounds the events that wait for a slow caller.
	MaxConns     int                                   // MaxConns bounds the callers' connections.
	Protocol     *Protocol                             // Protocol is the product's own when it is nil.
	Refused      func(result.Code)                     // Refused is told of requests that never reach the handler.
	Shed         Shed                                  // Shed refuses requests before anything is set up for them; nil refuses none.
	Elsewhere    func(age time.Duration) (Relay, bool) // Elsewhere names a router that serves a connection of this age in this one's place; nil names none.
	Late         func() time.Duration                  // Late is how long work waits for the processor; nil is not known.
	Busy         func() bool                           // Busy tells whether the process has little room left, so that callers may have given up while they waited; nil never.
	Panicked     func(Panic)                           // Panicked is told of handlers that panic.
}

// Shed decides whether a request is refused at once.
type Shed func(req *Request) (refusal Refusal, refused bool)

// Protocol is what differs between the callers of deployments.
type Protocol struct {
	// Decode reads a request's header into req, whose method, path, host and body are filled in already.
	Decode func(from *fasthttp.RequestHeader, req *Request)
	// Refuse writes a refusal; req is nil where the request could not be read.
	Refuse func(to *fasthttp.Response, req *Request, refusal Refusal)
}

// Server answers callers.
type Server struct {
	config Config
	http   *fasthttp.Server
	prefix string
	serial atomic.Uint64

	leaving atomic.Bool
	relayed atomic.Int64 // relayed counts the connections that other routers serve now.
	done    done

	closing context.Context // closing ends with Shutdown.
	close   context.CancelFunc
}

// New returns a Server.
func New(config Config) *Server {
	config.ReadTimeout = cmp.Or(config.ReadTimeout, defaultReadTimeout)
	config.WriteTimeout = cmp.Or(config.WriteTimeout, defaultWriteTimeout)
	config.IdleTimeout = cmp.Or(config.IdleTimeout, defaultIdleTimeout)
	config.MaxHeader = cmp.Or(config.MaxHeader, defaultMaxHeader)
	config.MaxBody = cmp.Or(config.MaxBody, defaultMaxBody)
	config.Buffer = cmp.Or(config.Buffer, defaultBuffer)
	if config.Refused == nil {
		config.Refused = func(result.Code) {}
	}
	if config.Shed == nil {
		config.Shed = func(*Request) (Refusal, bool) { return Refusal{}, false }
	}
	if config.Busy == nil {
		config.Busy = func() bool { return false }
	}
	if config.Late == nil {
		config.Late = func() time.Duration { return 0 }
	}
	if config.Panicked == nil {
		config.Panicked = func(Panic) {}
	}
	s := &Server{config: config, prefix: uuid.NewString()}
	s.closing, s.close = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:                      s.serve,
		ErrorHandler:                 s.unreadable,
		ReadTimeout:                  config.ReadTimeout,
		IdleTimeout:                  config.IdleTimeout,
		ReadBufferSize:               config.MaxHeader,
		MaxRequestBodySize:           config.MaxBody,
		Concurrency:                  config.MaxConns,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                config.Protocol != nil,
		NoDefaultContentType:         config.Protocol != nil,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		SecureErrorLogMessage:        true,
		Logger:                       silent{},
	}
	return s
}

// silent drops the library's own log lines, which hold what callers sent.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// Serve answers the callers of ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.serveOn(&listener{Listener: ln, handOver: s.handOver, accepted: &s.done.own})
}

// ServeOthers answers callers whose connections other routers hand over on ln, one request each, until Shutdown.
func (s *Server) ServeOthers(ln net.Listener) error {
	never := func(net.Conn) bool { return false }
	return s.serveOn(&listener{Listener: ln, handOver: never, once: true, accepted: &s.done.taken})
}

func (s *Server) serveOn(ln *listener) error {
	ln.writeTimeout, ln.late, ln.busy = s.config.WriteTimeout, s.config.Late, s.config.Busy
	defer context.AfterFunc(s.closing, func() { ln.Close() })()
	err := s.http.Serve(ln)
	if s.closing.Err() != nil {
		return nil
	}
	return err
}

// crowdedPart is the part of its connections from which on a server is crowded; callers open more of them
// until the balancer sends new ones elsewhere.
const crowdedPart = 0.75

// IsCrowded tells whether the server has nearly all connections that it takes.
func (s *Server) IsCrowded() bool {
	return s.config.MaxConns > 0 && float64(s.inUse()) >= crowdedPart*float64(s.config.MaxConns)
}

// done counts what a server has done.
type done struct{ own, taken, requests, events, shared atomic.Int64 }

// Done is what a server has done since its start.
type Done struct {
	Own      int64 // Own counts connections that callers opened here,
	Taken    int64 // Taken those that other routers handed over.
	Requests int64 // Requests counts those that were read and not shed.
	Events   int64 // Events counts events that were written here,
	Shared   int64 // Shared writes of what other routers answered.
}

// Done returns the present counts.
func (s *Server) Done() Done {
	return Done{
		Own: s.done.own.Load(), Taken: s.done.taken.Load(), Requests: s.done.requests.Load(),
		Events: s.done.events.Load(), Shared: s.done.shared.Load(),
	}
}

// Leave asks callers, with each answer, to come back on another connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown stops accepting and waits until all requests are answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.close() // The library closes only listeners that it has seen.
	err := s.http.ShutdownWithContext(ctx)
	for s.relayed.Load() > 0 && pause.For(ctx, relayPoll) {
	}
	return err
}

// serve runs the handler beside the library's goroutine, which writes the answer.
func (s *Server) serve(rc *fasthttp.RequestCtx) {
	req := s.request(rc)
	if s.config.Protocol == nil {
		rc.Response.Header.Set(headerRequestID, req.ID)
	}
	link, isLink := rc.Conn().(*conn)
	if s.leaving.Load() || isLink && link.once {
		rc.SetConnectionClose()
	}
	if refusal, ok := s.config.Shed(req); ok {
		s.write(rc, req, head{refusal: refusal})
		return
	}
	s.done.requests.Add(1)
	ctx, cancel := context.WithCancel(context.Background())
	ex := newExchange(s.config.Buffer, &s.done.events)
	ex.cuts = s.config.Protocol != nil
	stop := func() {}
	if isLink {
		stop = link.watch(cancel)
		req.HasLeft = func() bool { return hasClosed(link.Conn) }
	}
	go s.handle(ctx, req, ex)
	head := <-ex.head
	if !head.stream {
		stop()
		cancel()
		s.write(rc, req, head)
		return
	}
	if head.answer != nil {
		head.answer.writeHead(rc)
	} else {
		rc.SetContentType("text/event-stream")
		rc.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	}
	rc.Response.ImmediateHeaderFlush = true
	ex.done = func() {
		stop()
		cancel()
	}
	rc.SetBodyStream(ex, -1)
}

// write puts an answer or a refusal into the library's response.
func (s *Server) write(rc *fasthttp.RequestCtx, req *Request, h head) {
	if h.answer == nil && h.refusal.Code == result.Overloaded {
		rc.SetConnectionClose() // The caller's next connection may be to another router.
	}
	if h.answer == nil && s.config.Protocol != nil {
		s.config.Protocol.Refuse(&rc.Response, req, h.refusal)
		return
	}
	h.write(rc)
}

// handle runs the handler. A handler that panics ends its own request and no other.
func (s *Server) handle(ctx context.Context, req *Request, ex *exchange) {
	defer ex.end()
	defer func() {
		if cause := recover(); cause != nil {
			s.config.Panicked(Panic{Request: req.ID, Cause: cause, Stack: debug.Stack()})
		}
	}()
	s.config.Handler.Serve(ctx, req, writer{ex})
}

// fields are what the router reads of a body.
type fields struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// request copies what the handler needs, since the library reuses its own request.
func (s *Server) request(rc *fasthttp.RequestCtx) *Request {
	if s.config.Protocol != nil {
		return s.decode(rc)
	}
	header := &rc.Request.Header
	req := &Request{
		ID:             s.prefix + "-" + strconv.FormatUint(s.serial.Add(1), 10),
		Key:            bearerKey(string(header.Peek(fasthttp.HeaderAuthorization))),
		Method:         string(rc.Method()),
		Path:           string(rc.RequestURI()),
		ContentType:    string(header.ContentType()),
		Body:           append([]byte(nil), rc.Request.Body()...),
		IdempotencyKey: string(header.Peek(headerIdempotencyKey)),
		NonIdempotent:  string(header.Peek(headerNonIdempotent)) == "true",
		Hint:           costHint(string(header.Peek(headerCostHint))),
		Received:       received(rc),
	}
	var body fields
	if err := json.Unmarshal(req.Body, &body); err != nil {
		req.Malformed = true
		return req
	}
	req.Model = body.Model
	req.Stream = body.Stream
	return req
}

// decode leaves the header to the protocol.
func (s *Server) decode(rc *fasthttp.RequestCtx) *Request {
	req := &Request{
		Method:   string(rc.Method()),
		Path:     string(rc.RequestURI()),
		Host:     string(rc.Request.Header.Host()),
		Body:     bytes.Clone(rc.Request.Body()),
		Received: received(rc),
	}
	s.config.Protocol.Decode(&rc.Request.Header, req)
	return req
}

// received returns when the request arrived that has just been read. It may have waited before the connection was accepted.
func received(rc *fasthttp.RequestCtx) time.Time {
	now := time.Now()
	if link, ok := rc.Conn().(*conn); ok {
		return now.Add(-link.takeAge())
	}
	return now
}

func bearerKey(authorization string) string {
	if len(authorization) <= len(bearerPrefix) || !strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(authorization[len(bearerPrefix):])
}

func costHint(value string) cell.Cost {
	hint, err := strconv.ParseInt(value, 10, 64)
	if err != nil || hint < 0 {
		return 0
	}
	return cell.Cost(hint)
}

// unreadable answers requests that the library could not read; nothing of them has run.
func (s *Server) unreadable(rc *fasthttp.RequestCtx, err error) {
	if link, ok := rc.Conn().(*conn); ok && !link.heard {
		link.Close() // A caller that has asked nothing gets no answer.
		return
	}
	code := result.BadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small) {
		code = result.TooLarge
	}
	s.config.Refused(code)
	s.write(rc, nil, head{refusal: Refusal{Code: code, NotRun: true}})
}
