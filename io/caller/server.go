package caller

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"ryelug/core/cell"
	"ryelug/core/holding"
	"ryelug/core/result"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerNonIdempotent  = "X-Non-Idempotent"
	headerCostHint       = "X-Cost-Hint"
	headerRequestID      = "X-Request-Id"
	headerReplayed       = "X-Replayed"
	bearerPrefix         = "bearer "
)

// Defaults of Config: sizes are in bytes, defaultBuffer is a number of events.
const (
	defaultReadTimeout  = 10 * time.Second
	defaultWriteTimeout = 30 * time.Second
	defaultIdleTimeout  = time.Minute
	defaultMaxHeader    = 8 << 10
	defaultMaxBody      = 4 << 20
	defaultBuffer       = 64
)

// Config configures a Server. Zero timeouts, MaxHeader, MaxBody and Buffer take defaults.
type Config struct {
	Handler         Handler
	ReadTimeout     time.Duration                         // ReadTimeout limits how long a request may take to arrive completely; zero means 10 s.
	WriteTimeout    time.Duration                         // WriteTimeout limits how long one write to a caller may block; zero means 30 s.
	HandedOverGrace time.Duration                         // HandedOverGrace is how much longer than others the requests of other routers' callers go on at a Shutdown; zero is no longer.
	IdleTimeout     time.Duration                         // IdleTimeout limits the time between two requests on a connection; zero means one minute.
	MaxHeader       int                                   // MaxHeader limits the request line and the header of a request, in bytes; zero means 8 KiB.
	MaxBody         int                                   // MaxBody limits the body of a request, in bytes; zero means 4 MiB. The limit is lower if Budget can't cover so much.
	BodyRate        int                                   // BodyRate is the least number of bytes per second in which a body must arrive after BodyGrace; zero means no minimum.
	BodyGrace       time.Duration                         // BodyGrace is the time in which a body may arrive at any rate.
	Budget          *holding.Budget                       // Budget bounds the bytes that are held for callers; nil means no bound.
	ConnMemory      int64                                 // ConnMemory is the number of bytes of Budget that one connection takes.
	Evicted         func(Eviction)                        // Evicted is called when a request or response is ended because of Budget or BodyRate; may be nil.
	Buffer          int                                   // Buffer limits the number of events of a stream that are queued for a slow caller; zero means 64.
	MaxConns        int                                   // MaxConns limits the open connections of callers; zero means the limit of fasthttp, and that no connection is relayed.
	Protocol        *Protocol                             // Protocol decodes requests and encodes refusals; nil selects this project's own HTTP protocol.
	Refused         func(result.Code)                     // Refused is called with the code for each request that could not be read; may be nil.
	Shed            Shed                                  // Shed can refuse a request before resources are allocated for it; nil refuses none.
	Elsewhere       func(age time.Duration) (Relay, bool) // Elsewhere returns another router to relay a new connection to, whose request has waited for age; nil disables relaying.
	Timeout         func(req *Request) time.Duration      // Timeout returns the time from the arrival of a request by which its answer must be complete, zero for no limit; nil means that none has one. A relayed request is answered here then.
	Late            func() time.Duration                  // Late returns how long runnable work currently waits for a processor; nil means zero.
	Busy            func() bool                           // Busy reports whether the process is close to its capacity, so that callers may have disconnected while they waited to be accepted; nil means never.
	Panicked        func(Panic)                           // Panicked is called when the handler panics; may be nil.
	Unanswered      func(Unanswered)                      // Unanswered is called when a connection ends before the answer to a request on it has begun; may be nil.
}

// Shed reports whether a request is to be refused immediately, and with which refusal.
type Shed func(req *Request) (refusal Refusal, refused bool)

// Protocol adapts the server to the HTTP conventions of the callers of one deployment.
type Protocol struct {
	// Decode fills req from the request header; Method, Path, Host, Body and Received are already set.
	Decode func(from *fasthttp.RequestHeader, req *Request)
	// Refuse writes a refusal to the response; req is nil if the request could not be read.
	Refuse func(to *fasthttp.Response, req *Request, refusal Refusal)
}

// Server is an HTTP server for the requests of callers. Create it with New.
type Server struct {
	config Config
	http   *fasthttp.Server
	prefix string        // prefix is a random UUID that begins all request IDs of this server.
	serial atomic.Uint64 // serial is the number of the latest request ID.

	draining  atomic.Bool  // draining is set by Drain; each answer then closes its connection.
	retiring  atomic.Bool  // retiring is set by Retire; a connection then closes instead of waiting for a request.
	accepting atomic.Int64 // accepting is the number of listeners that are being served.
	relayed   atomic.Int64 // relayed is the number of connections that are currently relayed to other routers.
	done      done

	closing context.Context // closing is cancelled by Retire.
	close   context.CancelFunc

	openMu sync.Mutex          // openMu guards open and relays.
	open   map[*conn]struct{}  // open holds the connections that are served here.
	relays map[*relay]struct{} // relays holds the connections that are relayed to other routers.

	unreadRefusal  func() []byte // unreadRefusal returns the response to a request that is not read.
	unknownRefusal func() []byte // unknownRefusal returns the response to a request that another router may have run.
	closedRefusals *rate.Limiter // closedRefusals limits the refusals to callers that have closed the connection.
	discarding     chan struct{} // discarding holds an element for each closed connection whose rest is being read.
}

// New returns a Server with the given configuration; it accepts no connections until Serve or ServeOthers is called.
func New(config Config) *Server {
	config.ReadTimeout = cmp.Or(config.ReadTimeout, defaultReadTimeout)
	config.WriteTimeout = cmp.Or(config.WriteTimeout, defaultWriteTimeout)
	config.IdleTimeout = cmp.Or(config.IdleTimeout, defaultIdleTimeout)
	config.MaxHeader = cmp.Or(config.MaxHeader, defaultMaxHeader)
	config.MaxBody = cmp.Or(config.MaxBody, defaultMaxBody)
	config.MaxBody = maxBody(&config)
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
	if config.Evicted == nil {
		config.Evicted = func(Eviction) {}
	}
	if config.Unanswered == nil {
		config.Unanswered = func(Unanswered) {}
	}
	s := &Server{config: config, prefix: uuid.NewString(), open: make(map[*conn]struct{}), relays: make(map[*relay]struct{})}
	s.discarding = make(chan struct{}, maxDiscarding)
	s.unreadRefusal, s.unknownRefusal = sync.OnceValue(s.encodeUnreadRefusal), sync.OnceValue(s.encodeUnknownRefusal)
	s.closedRefusals = rate.NewLimiter(maxClosedRefusals, maxClosedRefusals)
	s.closing, s.close = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:                      s.serve,
		ErrorHandler:                 s.handleReadError,
		ReadTimeout:                  config.ReadTimeout,
		IdleTimeout:                  config.IdleTimeout,
		ReadBufferSize:               config.MaxHeader,
		MaxRequestBodySize:           config.MaxBody,
		StreamRequestBody:            true, // readBody reads bodies under the budget.
		HeaderReceived:               s.markTooLarge,
		ExpectHandler:                s.refuseTooLarge,
		Concurrency:                  workersPerConn * config.MaxConns, // The listener enforces MaxConns.
		NoDefaultServerHeader:        true,
		NoDefaultDate:                config.Protocol != nil,
		NoDefaultContentType:         config.Protocol != nil,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		ConnState:                    noteState,
		SecureErrorLogMessage:        true,
		Logger:                       discardLogger{},
	}
	return s
}

// workersPerConn is the number of fasthttp workers for each of MaxConns. It is above 1 because a worker may take the next
// connection only a moment after its last one was closed.
const workersPerConn = 2

// discardLogger discards the log lines of fasthttp, because they contain data that callers sent.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections of callers on ln until Retire or Shutdown. It returns nil after these, else the error of the
// listener.
func (s *Server) Serve(ln net.Listener) error {
	return s.serveOn(&acceptor{finisher: graceful(ln), handOver: s.handOver, accepted: &s.done.own})
}

// ServeOthers accepts connections on ln that other routers have handed over, and serves one request on each,
// until Retire or Shutdown. Its errors are those of Serve.
func (s *Server) ServeOthers(ln net.Listener) error {
	never := func(net.Conn) bool { return false }
	return s.serveOn(&acceptor{finisher: graceful(ln), handOver: never, singleRequest: true, accepted: &s.done.taken})
}

func (s *Server) serveOn(ln *acceptor) error {
	ln.server, ln.writeTimeout, ln.processorDelay, ln.busy = s, s.config.WriteTimeout, s.config.Late, s.config.Busy
	s.accepting.Add(1)
	defer s.accepting.Add(-1)
	defer context.AfterFunc(s.closing, ln.Finish)()
	err := s.http.Serve(ln)
	if s.closing.Err() != nil {
		return nil
	}
	return err
}

// crowdedFraction is the fraction of MaxConns from which a server counts as crowded. It is below 1 because callers keep
// opening connections here until the load balancer sends new ones to other routers.
const crowdedFraction = 0.75

// IsCrowded reports whether at least 75 % of MaxConns are in use; it is always false if MaxConns is zero.
func (s *Server) IsCrowded() bool {
	return s.config.MaxConns > 0 && float64(s.inUse()) >= crowdedFraction*float64(s.config.MaxConns)
}

// done holds the counters behind Done.
type done struct{ own, taken, requests, events, shared atomic.Int64 }

// Done holds the counters of a Server since its creation.
type Done struct {
	Own      int64 // Own counts connections accepted by Serve, including those then relayed to another router.
	Taken    int64 // Taken counts connections that other routers handed over to this one.
	Requests int64 // Requests counts requests that were read and not refused by Shed.
	Events   int64 // Events counts events of the streams that this router answered.
	Shared   int64 // Shared counts the pieces of other routers' answers that were written to relayed connections.
}

// Done returns the current values of the counters.
func (s *Server) Done() Done {
	return Done{
		Own: s.done.own.Load(), Taken: s.done.taken.Load(), Requests: s.done.requests.Load(),
		Events: s.done.events.Load(), Shared: s.done.shared.Load(),
	}
}

// serve runs the handler in a goroutine of its own and writes its answer; it is called on a fasthttp goroutine.
func (s *Server) serve(rc *fasthttp.RequestCtx) {
	body, held, failure := s.readBody(rc)
	if failure != nil {
		s.refuseBody(rc, failure)
		return
	}
	req, refusal, refused := s.screen(rc, body)
	if s.config.Protocol == nil {
		rc.Response.Header.Set(headerRequestID, req.ID)
	}
	link, isLink := rc.Conn().(*conn)
	if isLink {
		link.begin(req.ID)
		defer link.expectAfter(rc)
	}
	if s.draining.Load() || isLink && link.singleRequest {
		rc.SetConnectionClose()
	}
	if refused {
		s.endHold(held)
		s.write(rc, req, head{refusal: refusal})
		return
	}
	s.done.requests.Add(1)
	ctx, cancelCause := context.WithCancelCause(context.Background())
	cancel := func() { cancelCause(nil) }
	ex := newExchange(s.config.Buffer, &s.done.events)
	ex.closesOnRefusal, ex.cancel = s.config.Protocol != nil, cancelCause
	stop := func() {}
	if isLink {
		ex.outflow.count(link)
		link.serving(ex)
		stop = link.watch(cancel)
		req.HasDisconnected = func() bool { return hasClosed(link.Conn) }
	}
	go s.handle(ctx, req, ex, held)
	head := <-ex.head
	if s.draining.Load() {
		rc.SetConnectionClose()
	}
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

// write copies a complete answer or a refusal to the fasthttp response; an Overloaded refusal also closes the connection.
func (s *Server) write(rc *fasthttp.RequestCtx, req *Request, h head) {
	if h.answer == nil && h.refusal.Code == result.Overloaded {
		rc.SetConnectionClose() // A new connection of the caller may reach another router.
	}
	if h.answer == nil && s.config.Protocol != nil {
		s.config.Protocol.Refuse(&rc.Response, req, h.refusal)
		return
	}
	h.write(rc)
}

// handle runs the handler and completes its answer. It recovers from a panic, which ends only the request at hand.
func (s *Server) handle(ctx context.Context, req *Request, ex *exchange, held *holding.Holder) {
	defer s.endHold(held)
	defer ex.outflow.end()
	defer ex.ensureAnswered(ctx)
	defer func() {
		if cause := recover(); cause != nil {
			s.config.Panicked(Panic{Request: req.ID, Cause: cause, Stack: debug.Stack()})
		}
	}()
	s.config.Handler.Serve(ctx, req, writer{ex})
}

// bodyFields holds the fields that the router reads from a request's JSON body.
type bodyFields struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// request returns a copy of what the handler needs, because fasthttp reuses its request; body is already a copy.
func (s *Server) request(rc *fasthttp.RequestCtx, body []byte) *Request {
	if s.config.Protocol != nil {
		return s.decode(rc, body)
	}
	header := &rc.Request.Header
	req := &Request{
		ID:             s.prefix + "-" + strconv.FormatUint(s.serial.Add(1), 10),
		Key:            bearerKey(string(header.Peek(fasthttp.HeaderAuthorization))),
		Method:         string(rc.Method()),
		Path:           string(rc.RequestURI()),
		ContentType:    string(header.ContentType()),
		Body:           body,
		IdempotencyKey: string(header.Peek(headerIdempotencyKey)),
		NonIdempotent:  string(header.Peek(headerNonIdempotent)) == "true",
		Hint:           costHint(string(header.Peek(headerCostHint))),
		Received:       received(rc),
	}
	var fields bodyFields
	if err := json.Unmarshal(req.Body, &fields); err != nil {
		req.Malformed = true
		return req
	}
	req.Model = fields.Model
	req.Stream = fields.Stream
	return req
}

// decode returns a request whose header is decoded by the configured Protocol.
func (s *Server) decode(rc *fasthttp.RequestCtx, body []byte) *Request {
	req := &Request{
		Method:   string(rc.Method()),
		Path:     string(rc.RequestURI()),
		Host:     string(rc.Request.Header.Host()),
		Body:     body,
		Received: received(rc),
	}
	s.config.Protocol.Decode(&rc.Request.Header, req)
	return req
}

// received returns when the request that has just been read arrived. For the first request of a connection, this includes
// the time that it waited before the connection was accepted.
func received(rc *fasthttp.RequestCtx) time.Time {
	now := time.Now()
	if link, ok := rc.Conn().(*conn); ok {
		return now.Add(-link.takeAge())
	}
	return now
}

// bearerKey returns the token of an Authorization header, empty if its scheme is not Bearer.
func bearerKey(authorization string) string {
	if len(authorization) <= len(bearerPrefix) || !strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(authorization[len(bearerPrefix):])
}

// costHint parses the value of the cost header; it returns zero if the value is missing, malformed or negative.
func costHint(value string) cell.Cost {
	hint, err := strconv.ParseInt(value, 10, 64)
	if err != nil || hint < 0 {
		return 0
	}
	return cell.Cost(hint)
}
