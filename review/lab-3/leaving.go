package main

import (
	"errors"
	"sync"
	"time"
)

func init() { cases["leaving"] = leaving }

const (
	drainBound   = 2 * time.Second // bounds.drainMs
	handedInARow = 5
	outage       = 8 * time.Second
)

// leaving: a server leaves while the store is down, and says so in its answers. A busy router passes such an answer on, which another
// router of its zone has got for it.
func leaving(l *lab) {
	l.configure(func(config map[string]any) {
		for _, one := range config["routes"].([]any) {
			one.(map[string]any)["public"] = true // requests without a key are served while the store is down
		}
	})
	for i := range 9 {
		l.newServer("i-llm"+string(rune('a'+i)), "ryelug-pool", zones[i%3], 64)
	}
	var apps []*server
	for i := range 3 {
		apps = append(apps, l.newServer("i-app"+string(rune('a'+i)), "claims-api", zones[i], 6))
	}
	for i, zone := range []string{zones[0], zones[0], zones[1]} {
		l.newRouter("front-"+zone+"-"+string(rune('1'+i)), zone).start()
	}
	l.awaitReady()
	time.Sleep(3 * time.Second)

	first, second := l.routers[0], l.routers[1]
	var kept []*client // clients that keep a connection to the first router open, from before the burst
	for range 40 {
		c := l.newClient(first)
		if a := c.send(l.status()); a.status != 200 {
			l.note("a client with an open connection got %d", a.status)
		}
		kept = append(kept, c)
	}
	end := time.Now().Add(30 * time.Second)
	users := 0
	burst := func(more int) { // many users at once, on open connections
		for range more {
			users++
			c := l.newClient(first)
			go func() {
				defer c.close()
				for time.Now().Before(end) {
					c.send(l.draft())
				}
			}()
			time.Sleep(5 * time.Millisecond)
		}
	}
	burst(60)
	for elsewhere, tries, isEnough := 0, 0, false; elsewhere < handedInARow; tries++ { // until the first router hands new connections over
		if time.Now().After(end.Add(-9 * time.Second)) {
			l.close()
			fail(errors.New("no connection is handed over"))
		}
		if tries%16 == 15 && users < 300 {
			burst(10)
		}
		c := l.newClient(first)
		a := c.send(l.filing())
		c.close()
		switch l.nodeOf(a.request.id) {
		case second.name:
			elsewhere++
		case first.name:
			elsewhere = 0
		}
		if elsewhere == handedInARow && !isEnough { // some more, so that its load does not sink below the half again
			isEnough, elsewhere = true, 0
			burst(10)
		}
	}
	l.note("the first router hands new connections over; users: %d", users)
	if hasTrouble() {
		l.store.setSilent(true)
		l.note("the store is down, so servers can't report draining there")
	}
	var x *server
	var passedOn time.Time
	for _, x = range apps[:2] { // another one, if the first router itself got the answer of the first one
		x.beats.Store(false)
		x.state.Store("draining")
		x.leaving.Store(true)
		x.beat()
		l.note("%s leaves, and says so in its answers", x.id)
		for range 30 {
			c := l.newClient(first)
			a := c.send(l.filing())
			c.close()
			if !a.leaving || l.serverOf(a.request.id) != x.id {
				continue
			}
			l.note("%s has passed an answer with Server-Leaving of %s on, to %s; %s got it", first.name, x.id, a.request.id, l.nodeOf(a.request.id))
			if l.nodeOf(a.request.id) != first.name {
				passedOn = a.ended
			}
			break
		}
		if !passedOn.IsZero() {
			break
		}
	}
	if passedOn.IsZero() {
		if hasTrouble() {
			l.close()
			fail(errors.New("the first router itself got the answers of the servers that leave"))
		}
		passedOn = time.Now()
	}
	time.Sleep(time.Until(passedOn.Add(drainBound + 100*time.Millisecond)))
	var wg sync.WaitGroup
	for _, c := range kept {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(passedOn) < outage-2*time.Second {
				c.send(l.filing())
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	sent := map[string]*answer{}
	for _, a := range l.answers {
		sent[a.request.id] = a
	}
	late := 0
	for _, a := range l.all() {
		if a.path != filingPath+"x" {
			continue
		}
		q := sent[a.id]
		l.note("%s reached %s at %.3f from %s", a.id, a.server, a.at.Sub(l.began).Seconds(), a.node)
		if a.server == x.id && a.node == first.name && q != nil && q.sent.Sub(passedOn) > drainBound {
			late++
			l.note("BROKEN: %s, sent %.2f s after %s had passed on that %s leaves, reached it from there", a.id, q.sent.Sub(passedOn).Seconds(), first.name, x.id)
		}
	}
	if hasTrouble() {
		l.store.setSilent(false)
	}
	l.verdict(late > 0, "%d requests, sent more than %v after %s had passed on that the server leaves, reached it from there", late, drainBound, first.name)
}
