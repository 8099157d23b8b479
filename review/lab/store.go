package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// object is one object of the store.
type object struct {
	Metadata struct {
		Name           string   `json:"name"`
		Revision       uint64   `json:"revision"`
		CreateRevision uint64   `json:"createRevision"`
		Finalizers     []string `json:"finalizers"`
		Deleting       bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is one change of the store.
type event struct {
	kind      string
	object    object
	tombstone bool
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	history []event
	changed chan struct{}
}

func newStore() *store {
	return &store{rev: 100, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

func (s *store) note(kind string, o object, tombstone bool) {
	s.history = append(s.history, event{kind, o, tombstone})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object as the operator or a server does; a write that changes nothing is no change.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.kinds[kind][name]
	if known && string(old.Spec) == string(data) {
		return
	}
	s.set(kind, name, old, known, data, nil)
}

func (s *store) set(kind, name string, old object, known bool, spec json.RawMessage, finalizers []string) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.rev++
	o := old
	if !known {
		o.Metadata.CreateRevision = s.rev
	}
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.rev, spec
	o.Metadata.Finalizers = finalizers
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if o.Status == nil {
		o.Status = json.RawMessage("null")
	}
	s.kinds[kind][name] = o
	s.note(kind, o, false)
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		delete(s.kinds[kind], name)
		s.rev++
		o.Metadata.Revision = s.rev
		s.note(kind, o, true)
	}
}

// access is one machine's way to the store; away makes the store answer it 503.
type access struct {
	addr string
	away atomic.Bool
}

// listen opens a way to the store for one machine.
func (s *store) listen() *access {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	a := &access{addr: ln.Addr().String()}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if a.away.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			s.serve(a, w, r)
		}))
	}()
	return a
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serve(a *access, w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	kind, name, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && query.Get("watch") != "":
		s.watch(a, w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0)
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := make([]object, 0)
	for _, name := range names {
		items = append(items, s.kinds[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "asOf": s.rev})
}

func (s *store) watch(a *access, w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := make([]map[string]any, 0)
		for _, one := range s.history {
			if one.kind == kind && one.object.Metadata.Revision > from {
				events = append(events, map[string]any{"object": one.object, "tombstone": one.tombstone})
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		if a.away.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, _ := io.ReadAll(r.Body)
	var given object
	if len(body) > 0 && json.Unmarshal(body, &given) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = given.Metadata.Name
	}
	old, known := s.kinds[kind][name]
	revision := given.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && known, known && revision > 0 && revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !known:
		reply(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.rev++
		old.Metadata.Revision = s.rev
		s.note(kind, old, true)
		reply(w, http.StatusOK, old)
	case known && string(old.Spec) == string(given.Spec):
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.set(kind, name, old, known, given.Spec, given.Metadata.Finalizers))
	}
}
