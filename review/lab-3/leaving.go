package main

import (
	"errors"
	"sync"
	"time"
)

func init() { cases["leaving"] = leaving }

const (
	drainBound   = 2 * time.Second // bounds.drainMs
	handedInARow = 8
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

	first, x := l.routers[0], apps[0]
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
		if elsewhere++; l.nodeOf(a.request.id) == first.name {
			elsewhere = 0
		}
		if elsewhere == handedInARow && !isEnough { // some more, so that its load does not sink below the half again
			isEnough, elsewhere = true, 0
			burst(25)
		}
	}
	l.note("the first router hands new connections over; users: %d", users)
	x.beats.Store(false)
	x.state.Store("draining")
	x.leaving.Store(true)
	l.note("%s leaves, and says so in its answers", x.id)
	if hasTrouble() {
		l.store.setSilent(true)
		l.note("the store is down, so %s can't report draining there", x.id)
	} else {
		x.beat()
	}
	var passedOn time.Time
	for range 30 {
		c := l.newClient(first)
		a := c.send(l.filing())
		c.close()
		if a.leaving {
			passedOn = a.ended
			l.note("%s has passed an answer with Server-Leaving on, to %s; %s got it", first.name, a.request.id, l.nodeOf(a.request.id))
			break
		}
	}
	if passedOn.IsZero() {
		passedOn = time.Now()
	}
	time.Sleep(time.Until(passedOn.Add(drainBound + 100*time.Millisecond)))
	var wg sync.WaitGroup
	for _, c := range kept {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 40 {
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
