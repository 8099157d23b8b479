package platform

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/io/platform"
)

const (
	// DefaultMaxValue is the largest value that the platform takes, in bytes.
	DefaultMaxValue = 1 << 20

	envelope      = 4 << 10 // envelope is the room for metadata around a value, in bytes.
	bookmarkEvery = 10 * time.Second
	idleTimeout   = time.Minute
)

// Host is what the list of hosts says of one host.
type Host struct {
	Host        string         `json:"host"`
	PeerAddress netip.AddrPort `json:"peer_address"`
	DataCentre  string         `json:"data_centre"`
	Leaving     bool           `json:"leaving"`
}

// Config says what the platform holds at the start.
type Config struct {
	Environment string // Environment is the one that Hosts belong to.
	Hosts       []Host
	MaxValue    int // MaxValue bounds a value in bytes; DefaultMaxValue by default.
}

// Server is a stand-in platform.
type Server struct {
	config  Config
	store   *store
	control control
	http    *fasthttp.Server
	done    chan struct{}
	closing sync.Once
}

// New returns a platform that holds the hosts of the configuration.
func New(config Config) *Server {
	if config.MaxValue == 0 {
		config.MaxValue = DefaultMaxValue
	}
	s := &Server{config: config, store: newStore(), done: make(chan struct{})}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    config.MaxValue + envelope,
		IdleTimeout:           idleTimeout,
		NoDefaultDate:         true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                quiet{},
	}
	for _, host := range config.Hosts {
		s.SetHost(host)
	}
	return s
}

// quiet drops the log lines of connections that break off.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}

// Serve answers calls on a listener until Close.
func (s *Server) Serve(listener net.Listener) error {
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-s.done: // The library closes only listeners that it has seen.
			listener.Close()
		case <-stop:
		}
	}()
	err := s.http.Serve(listener)
	if s.isClosed() {
		return nil
	}
	return err
}

func (s *Server) isClosed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Close ends all watches and stops the server.
func (s *Server) Close() {
	s.closing.Do(func() { close(s.done) })
	if err := s.http.Shutdown(); err != nil {
		return
	}
}

// SetHost lists a host or replaces what is said of it.
func (s *Server) SetHost(host Host) {
	data, err := json.Marshal(host)
	if err != nil {
		panic(err) // A host has no field that JSON can't hold.
	}
	of := collection{s.config.Environment, platform.Hosts}
	object := platform.Wire{Kind: platform.Hosts, Metadata: platform.Metadata{Name: host.Host}, Data: data}
	if _, reason := s.store.create(of, object); reason != "" {
		s.store.update(of, object)
	}
}

// RemoveHost takes a host off the list.
func (s *Server) RemoveHost(name string) {
	s.store.remove(collection{s.config.Environment, platform.Hosts}, name, "")
}

// handle answers one call.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	faults := s.control.present()
	if faults.Slow > 0 && !s.pause(faults.Slow) {
		drop(ctx)
		return
	}
	if s.control.present().Down {
		drop(ctx)
		return
	}
	of, name, ok := parsePath(string(ctx.Path()))
	if !ok {
		fail(ctx, http.StatusNotFound, platform.ReasonNotFound)
		return
	}
	switch string(ctx.Method()) {
	case http.MethodGet:
		s.read(ctx, of, name)
	case http.MethodPost, http.MethodPut, http.MethodDelete:
		s.write(ctx, of, name)
	default:
		fail(ctx, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (s *Server) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.done:
		return false
	}
}

// drop closes the connection without an answer.
func drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func parsePath(path string) (collection, string, bool) {
	rest, found := strings.CutPrefix(path, platform.PathPrefix)
	pieces := strings.Split(rest, "/")
	if !found || len(pieces) < 2 || len(pieces) > 3 || pieces[0] == "" || pieces[1] == "" {
		return collection{}, "", false
	}
	name := ""
	if len(pieces) == 3 {
		name = pieces[2]
	}
	return collection{pieces[0], platform.Kind(pieces[1])}, name, true
}

func (s *Server) read(ctx *fasthttp.RequestCtx, of collection, name string) {
	metadataOnly := string(ctx.Request.Header.Peek(fasthttp.HeaderAccept)) == platform.MetadataOnly
	switch {
	case ctx.QueryArgs().GetBool("watch"):
		s.control.count(func(c *Calls) *int64 { return &c.Watches })
		s.watch(ctx, of)
	case name == "":
		s.control.count(func(c *Calls) *int64 { return &c.Lists })
		s.list(ctx, of, metadataOnly)
	default:
		s.control.count(func(c *Calls) *int64 { return &c.Reads })
		s.get(ctx, of, name, metadataOnly)
	}
}

func (s *Server) get(ctx *fasthttp.RequestCtx, of collection, name string, metadataOnly bool) {
	object, found := s.store.get(of, name)
	if !found {
		fail(ctx, http.StatusNotFound, platform.ReasonNotFound)
		return
	}
	if metadataOnly {
		object.Data = nil
	}
	answer(ctx, http.StatusOK, object)
}

func (s *Server) list(ctx *fasthttp.RequestCtx, of collection, metadataOnly bool) {
	at := time.Now()
	if of.kind == platform.Hosts {
		at = at.Add(-s.control.present().LagList)
	}
	items, version := s.store.list(of, at)
	if metadataOnly {
		for i := range items {
			items[i].Data = nil
		}
	}
	answer(ctx, http.StatusOK, platform.WireList{Metadata: platform.Metadata{ResourceVersion: version}, Items: items})
}

// write applies a create, an update or a delete.
func (s *Server) write(ctx *fasthttp.RequestCtx, of collection, name string) {
	object, reason := s.apply(ctx, of, name)
	s.control.count(func(c *Calls) *int64 { return &c.Writes }) // Tests wait for the count to know that a write has taken effect.
	if s.control.losesAnswer() {
		drop(ctx)
		return
	}
	if reason != "" {
		fail(ctx, statusOf(reason), reason)
		return
	}
	status := http.StatusOK
	if ctx.IsPost() {
		status = http.StatusCreated
	}
	answer(ctx, status, object)
}

func (s *Server) apply(ctx *fasthttp.RequestCtx, of collection, name string) (platform.Wire, string) {
	if ctx.IsDelete() {
		var options platform.DeleteOptions
		if err := json.Unmarshal(ctx.PostBody(), &options); err != nil && len(ctx.PostBody()) > 0 {
			return platform.Wire{}, reasonInvalid
		}
		return s.store.remove(of, name, options.Preconditions.ResourceVersion)
	}
	var object platform.Wire
	if err := json.Unmarshal(ctx.PostBody(), &object); err != nil {
		return platform.Wire{}, reasonInvalid
	}
	if len(object.Data) > s.config.MaxValue {
		return platform.Wire{}, platform.ReasonTooLarge
	}
	if ctx.IsPut() {
		object.Metadata.Name = name
		return s.store.update(of, object)
	}
	if object.Metadata.Name == "" || name != "" {
		return platform.Wire{}, reasonInvalid
	}
	return s.store.create(of, object)
}

const reasonInvalid = "Invalid"

func statusOf(reason string) int {
	switch reason {
	case platform.ReasonNotFound:
		return http.StatusNotFound
	case platform.ReasonExists, platform.ReasonConflict:
		return http.StatusConflict
	case platform.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case platform.ReasonExpired:
		return http.StatusGone
	}
	return http.StatusUnprocessableEntity
}

func answer(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		fail(ctx, http.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func fail(ctx *fasthttp.RequestCtx, status int, reason string) {
	answer(ctx, status, platform.Status{Kind: "Status", Reason: reason, Message: reason, Code: status})
}

// errGone ends a watch whose reader has left or whose server closes.
var errGone = errors.New("the watch has ended")
