package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync/atomic"
	"time"
)

func init() { cases["reborn"] = reborn }

const (
	coldFor    = 3 * time.Second // coldS of the configuration
	coldBound  = 29              // coldPerS x coldOver + coldSlack = 16 x 1.5 + 5
	coldCrash  = 2 * coldBound   // a server crashes at a rate well above the bound
	perSecond  = 250             // requests a second, of 1 s each, at three model servers with 64 slots
	clients    = 400             // with open connections
	pieces     = 40              // events of an answer
	heartbeat  = 1200 * time.Millisecond
	rebornWait = 300 * time.Millisecond
	cutFor     = 5 * time.Second
	episode    = 10 * time.Second
)

// reborn: three times, one of three model servers can't reach the store, crashes and starts again under its id. It is cold then, which
// the store does not know; the server says so in its health answers.
func reborn(l *lab) {
	l.configure(nil)
	var llm []*server
	for i := range 3 {
		one := l.newServer("i-llm"+string(rune('a'+i)), "ryelug-pool", zones[i], 64)
		one.events = pieces
		llm = append(llm, one)
	}
	for i := range 3 {
		l.newServer("i-app"+string(rune('a'+i)), "claims-api", zones[i], 6)
	}
	for i := range 3 {
		l.newRouter("front-"+zones[i]+"-1", zones[i]).start()
	}
	l.awaitReady()
	time.Sleep(2 * time.Second)

	var isOver atomic.Bool
	for i := range clients {
		r := l.routers[i%3]
		go func() {
			c := l.newClient(r)
			defer c.close()
			time.Sleep(time.Duration(rand.IntN(clients)) * time.Second / perSecond)
			for !isOver.Load() {
				next := time.Now().Add(time.Second * clients / perSecond)
				q := l.draft()
				q.id = l.newID()
				q.prefix, q.counts = "5c1e07a2:40,91bd3f06:20,"+q.id[8:]+":30", fmt.Sprintf("90,%d", 7*pieces)
				c.send(q)
				time.Sleep(time.Until(next))
			}
		}()
	}
	most := 0
	for _, s := range llm {
		time.Sleep(3 * time.Second)
		ended := time.Now().Add(episode)
		if hasTrouble() {
			most = max(most, l.restartCold(s))
		}
		time.Sleep(time.Until(ended))
	}
	isOver.Store(true)
	time.Sleep(1500 * time.Millisecond)
	counts := map[string]int{}
	l.mu.Lock()
	for _, a := range l.answers {
		counts[fmt.Sprintf("%d, complete: %v", a.status, a.complete)]++
	}
	l.mu.Unlock()
	l.note("answers by status: %v", counts)
	l.verdict(most > coldBound, "a cold server got up to %d requests in one second (bound %d)", most, coldBound)
}

// restartCold cuts a server off from the store, has it crash and start again, and returns the most requests that it got in a second
// while it was cold.
func (l *lab) restartCold(s *server) int {
	cutAt := time.Now()
	l.note("%s is cut off from the store", s.id)
	s.beats.Store(false)
	time.Sleep(200 * time.Millisecond)
	addr := s.ln.Addr().String()
	s.http.Close()
	l.note("%s crashes", s.id)
	time.Sleep(rebornWait)
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		l.close()
		fail(err)
	}
	start := time.Now()
	s.born, s.ln = start.UnixMilli(), ln
	s.coldUntil.Store(start.Add(coldFor).UnixNano())
	var crashed atomic.Bool
	var recent []time.Time
	s.handle = func(s *server, _ http.ResponseWriter, _ *http.Request, _ *arrival) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		if crashed.Load() || now.After(start.Add(coldFor)) {
			return false
		}
		recent = append(recent, now)
		for recent[0].Before(now.Add(-time.Second)) {
			recent = recent[1:]
		}
		if len(recent) > coldCrash && crashed.CompareAndSwap(false, true) {
			l.note("%s crashes again, as it got %d requests in a second while it was cold", s.id, len(recent))
			go s.http.Close()
		}
		return false
	}
	s.http = &http.Server{Handler: s, ConnContext: l.nameNode}
	go s.http.Serve(ln)
	l.note("%s has started again under its id, and is cold for %v", s.id, coldFor)
	time.Sleep(time.Until(cutAt.Add(3 * heartbeat)))
	l.store.remove("servers", s.id)
	l.note("the entry of %s is removed after three heartbeat intervals of silence", s.id)
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	if crashed.Load() {
		if ln, err = net.Listen("tcp", addr); err != nil {
			l.close()
			fail(err)
		}
		s.born, s.ln, s.handle = time.Now().UnixMilli(), ln, nil
		s.http = &http.Server{Handler: s, ConnContext: l.nameNode}
		go s.http.Serve(ln)
	}
	s.beats.Store(true)
	s.beat()
	l.note("%s reaches the store again", s.id)

	var at []float64
	for _, a := range l.all() {
		if a.server == s.id && a.at.After(start) && a.at.Before(start.Add(coldFor)) {
			at = append(at, a.at.Sub(start).Seconds())
			l.note("reached the cold server %s %.3f s after its start, from %s: %s", s.id, a.at.Sub(start).Seconds(), a.node, a.id)
		}
	}
	sort.Float64s(at)
	most, when := 0, 0.0
	for i := range at {
		j := i
		for j < len(at) && at[j] < at[i]+1 {
			j++
		}
		if j-i > most {
			most, when = j-i, at[i]
		}
	}
	l.note("%s got up to %d requests in one second while cold (bound %d), from %.2f s after its start on", s.id, most, coldBound, when)
	return most
}
