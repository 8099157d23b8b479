package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
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
	Kind      string
	Revision  uint64
	Object    object
	Tombstone bool
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md tells it.
type store struct {
	mu      sync.Mutex
	rev     uint64
	era     uint64
	oldest  uint64 // watches from before this revision get 410
	kinds   map[string]map[string]object
	log     []event
	changed chan struct{}
	silent  bool            // calls get no answer
	cut     map[string]bool // routers whose calls get no answer
	copied  *snapshot
	server  map[string]net.Listener
}

// snapshot is a copy of the store.
type snapshot struct {
	rev   uint64
	kinds map[string]map[string]object
	log   []event
}

func newStore() *store {
	return &store{rev: 100, era: 1, oldest: 100, kinds: map[string]map[string]object{}, changed: make(chan struct{}), cut: map[string]bool{}, server: map[string]net.Listener{}}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes an object as the operator and the servers do, without a condition.
func (s *store) set(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data)
}

func (s *store) write(kind, name string, spec json.RawMessage) uint64 {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	one, known := s.kinds[kind][name]
	if known && string(one.Spec) == string(spec) {
		return one.Metadata.Revision
	}
	s.rev++
	if !known {
		one.Metadata.Name, one.Metadata.CreateRevision, one.Metadata.Finalizers, one.Status = name, s.rev, []string{}, json.RawMessage("null")
	}
	one.Metadata.Revision, one.Spec = s.rev, spec
	s.kinds[kind][name] = one
	s.log = append(s.log, event{kind, s.rev, one, false})
	s.wake()
	return s.rev
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	one, known := s.kinds[kind][name]
	if !known {
		return
	}
	s.rev++
	one.Metadata.Revision = s.rev
	delete(s.kinds[kind], name)
	s.log = append(s.log, event{kind, s.rev, one, true})
	s.wake()
}

// setSilent makes the store answer nobody, or everybody again.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wake()
}

// takeCopy keeps a copy of the store, from which restore brings it back.
func (s *store) takeCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	kinds := map[string]map[string]object{}
	for kind, objects := range s.kinds {
		kinds[kind] = map[string]object{}
		for name, one := range objects {
			kinds[kind][name] = one
		}
	}
	s.copied = &snapshot{s.rev, kinds, append([]event(nil), s.log...)}
}

// restore brings the store back from the copy.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.kinds, s.log = s.copied.rev, map[string]map[string]object{}, append([]event(nil), s.copied.log...)
	for kind, objects := range s.copied.kinds {
		s.kinds[kind] = maps.Clone(objects)
	}
	s.era++
	s.wake()
}

// listen opens an address of the store for one router, so that it can be told from the others, and returns it.
func (s *store) listen(router string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(router, w, r) }))
	return ln.Addr().String()
}

// hang answers nothing while the store is silent for a router, and then cuts the connection.
func (s *store) hang(router string, w http.ResponseWriter, r *http.Request) bool {
	for {
		s.mu.Lock()
		isSilent, changed := s.silent || s.cut[router], s.changed
		s.mu.Unlock()
		if !isSilent {
			return false
		}
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *store) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serve(router string, w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	if s.hang(router, w, r) {
		return
	}
	if time.Since(began) > 50*time.Millisecond {
		panic(http.ErrAbortHandler) // what was sent into the outage is not answered any more
	}
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind, name, isStatus := path[0], "", len(path) == 3
	if len(path) > 1 {
		name = path[1]
	}
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "" {
		s.watch(router, kind, w, r)
		return
	}
	var sent object
	if r.Body != nil && (r.Method == http.MethodPost || r.Method == http.MethodPut) {
		_ = json.NewDecoder(r.Body).Decode(&sent)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	one, known := s.kinds[kind][name]
	switch r.Method {
	case http.MethodGet:
		if name == "" {
			s.list(kind, w, r)
			return
		}
		if !known {
			s.answer(w, 404, map[string]any{})
			return
		}
		s.answer(w, 200, one)
	case http.MethodPost:
		name = sent.Metadata.Name
		if one, known = s.kinds[kind][name]; known {
			s.answer(w, 409, one)
			return
		}
		s.write(kind, name, sent.Spec)
		s.answer(w, 200, s.kinds[kind][name])
	case http.MethodPut, http.MethodDelete:
		revision := sent.Metadata.Revision
		if r.Method == http.MethodDelete {
			revision, _ = strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
		}
		switch {
		case !known:
			s.answer(w, 404, map[string]any{})
			return
		case revision > 0 && revision != one.Metadata.Revision:
			s.answer(w, 409, one)
			return
		}
		if r.Method == http.MethodDelete {
			s.removeLocked(kind, name)
		} else if !isStatus {
			s.write(kind, name, sent.Spec)
		}
		s.answer(w, 200, s.kinds[kind][name])
	default:
		s.answer(w, 400, map[string]any{})
	}
}

func (s *store) list(kind string, w http.ResponseWriter, r *http.Request) {
	names := []string{}
	for name := range s.kinds[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names[:min(500, len(names))] {
		items = append(items, s.kinds[kind][name])
	}
	s.answer(w, 200, map[string]any{"items": items, "more": len(names) > 500, "asOf": s.rev})
}

func (s *store) watch(router, kind string, w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	began := uint64(0)
	for isOver := false; ; {
		s.mu.Lock()
		if began == 0 {
			began = s.era
		}
		if from < s.oldest || from > s.rev {
			s.answer(w, 410, map[string]any{})
			s.mu.Unlock()
			return
		}
		if began != s.era || s.silent || s.cut[router] {
			s.mu.Unlock()
			s.hang(router, w, r)
			panic(http.ErrAbortHandler) // a watch that waits is cut off
		}
		events := []map[string]any{}
		for _, one := range s.log {
			if one.Kind == kind && one.Revision > from {
				events = append(events, map[string]any{"tombstone": one.Tombstone, "object": one.Object})
			}
		}
		if len(events) > 0 || isOver {
			s.answer(w, 200, map[string]any{"events": events, "asOf": s.rev})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			isOver = true
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// describe returns the state of a kind for the record.
func (s *store) describe(kind string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name, one := range s.kinds[kind] {
		names = append(names, fmt.Sprintf("%s@%d", name, one.Metadata.Revision))
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}
