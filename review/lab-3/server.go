package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	at             time.Time
	server, id     string
	node           string // the address from which it came
	lastEvent      string
	status         int
	key, instance  string
	deadline, body string
	method, path   string
	ended          time.Time
	header         http.Header
}

// server is a stand-in for a server of a service.
type server struct {
	lab     *lab
	id      string
	service string
	zone    string
	slots   int
	ln      net.Listener
	http    *http.Server
	born    int64
	seq     atomic.Int64
	state   atomic.Value // of string
	leaving atomic.Bool  // answers say Server-Leaving
	beats   atomic.Bool  // whether the server writes its entry
	work    time.Duration
	events  int
	// handle answers a request in place of the usual answer if it returns true.
	handle func(s *server, w http.ResponseWriter, r *http.Request, a *arrival) bool
	mu     sync.Mutex
	// coldUntil is the Unix time in ns until which the server is cold.
	coldUntil atomic.Int64
}

func (l *lab) newServer(id, service, zone string, slots int) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &server{lab: l, id: id, service: service, zone: zone, slots: slots, ln: ln, born: time.Now().UnixMilli(), work: 30 * time.Millisecond, events: 12}
	s.state.Store("ready")
	s.beats.Store(true)
	s.http = &http.Server{Handler: s, ConnContext: l.nameNode}
	go s.http.Serve(ln)
	s.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			if s.beats.Load() {
				s.beat()
			}
		}
	}()
	l.servers = append(l.servers, s)
	return s
}

// beat writes the entry; a store that is down does not take it.
func (s *server) beat() {
	s.lab.store.mu.Lock()
	isDown := s.lab.store.silent
	s.lab.store.mu.Unlock()
	if isDown {
		return
	}
	s.lab.store.set("servers", s.id, map[string]any{
		"service": s.service, "addr": s.ln.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state.Load(), "coldLeftMs": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": s.seq.Add(0), "born": s.born,
	})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", s.id)
		w.Header().Set("X-Server-Load", fmt.Sprintf("0,0,%d", s.slots))
		if left := time.Until(time.Unix(0, s.coldUntil.Load())); left > 0 {
			w.Header().Set("X-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		return
	case "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":450000,"handles":0}`)
		return
	case "/v1/kv-list":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"epoch":"e","nextToken":1,"held":[]}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	a := &arrival{
		at: time.Now(), server: s.id, id: r.Header.Get("X-Attempt-Id"), node: nodeOf(r), lastEvent: r.Header.Get("Last-Event-Id"), method: r.Method, path: r.URL.RequestURI(),
		instance: r.Header.Get("X-Expect-Instance"), deadline: r.Header.Get("X-Deadline-Ms"), body: string(body), header: r.Header.Clone(), status: 200,
	}
	s.lab.addArrival(a)
	if s.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("X-Attempt-Id", a.id)
	w.Header().Set("Keep-Alive", "timeout=15")
	if a.instance != "" && a.instance != s.id {
		a.status = 421
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(421)
		return
	}
	if s.handle != nil && s.handle(s, w, r, a) {
		return
	}
	w.Header().Set("X-Server-Seal", "seal."+s.id)
	if r.Header.Get("X-Token-Counts") != "" {
		s.stream(w, r, a)
		return
	}
	time.Sleep(s.work)
	text := "answer to " + a.id + " by " + s.id
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	io.WriteString(w, text)
	a.ended = time.Now()
}

// stream answers with events, 25 ms apart.
func (s *server) stream(w http.ResponseWriter, r *http.Request, a *arrival) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	from, _ := strconv.Atoi(a.lastEvent)
	for i := from + 1; i <= s.events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(25 * time.Millisecond):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", i, a.id, i)
		w.(http.Flusher).Flush()
	}
	a.ended = time.Now()
}

// nodeOf returns the router that has sent a request.
func nodeOf(r *http.Request) string {
	name, _ := r.Context().Value(nodeKey{}).(string)
	return name
}
