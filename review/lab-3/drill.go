package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drill"] = drill }

const (
	revokeBound  = 5 * time.Second        // bounds.revokeMs
	awayFor      = 300 * time.Millisecond // the store is away for a moment
	writtenAgain = 1500 * time.Millisecond
)

// drill: the store comes back from a copy that is six seconds old while a router is restarted by plan. A key was taken away after the
// copy was made.
func drill(l *lab) {
	l.small(3)
	restarted := l.routers[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 12 {
		r := l.routers[i%3]
		key := []string{goodKey, otherKey}[i/3%2]
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := l.newClient(r)
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rand.IntN(40)) * time.Millisecond):
				}
				if !r.takesClients.Load() { // the platform sends it nobody
					c.close()
					continue
				}
				q := []request{l.filing(), l.status()}[rand.IntN(2)]
				q.key = key
				c.send(q)
			}
		}()
	}
	time.Sleep(time.Second)
	l.store.takeCopy()
	l.note("a copy of the store is made")
	time.Sleep(500 * time.Millisecond)
	l.configure(func(config map[string]any) { config["tenants"] = config["tenants"].([]any)[:1] })
	revoked := time.Now()
	l.note("which takes the key of the second tenant away")
	time.Sleep(2500 * time.Millisecond)

	restarted.takesClients.Store(false)
	restarted.signal(syscall.SIGTERM)
	<-restarted.ended
	if hasTrouble() {
		l.store.setSilent(true)
		l.note("drill: the store is away")
		time.Sleep(awayFor)
		l.store.restore()
		l.store.setSilent(false)
		l.note("drill: the store is back from the copy")
		time.AfterFunc(writtenAgain, func() {
			l.store.set("config", "main", l.config)
			l.note("the operator has written the configuration of version %d again", l.version)
		})
	}
	restarted.start()
	for began := time.Now(); !restarted.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			l.note("router %s is not ready", restarted.name)
			break
		}
	}
	restarted.takesClients.Store(true)
	l.note("router %s takes clients again", restarted.name)
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()

	sent := map[string]*answer{}
	for _, a := range l.answers {
		sent[a.request.id] = a
		l.note("sent at %.3f to %s: %s with the key of %s: %d", a.sent.Sub(l.began).Seconds(), a.router, a.request.id, tenantOf(a.request.key), a.status)
	}
	late := 0
	for _, a := range l.all() {
		q := sent[a.id]
		if q != nil && q.request.key == otherKey && q.sent.Sub(revoked) > revokeBound {
			late++
			l.note("BROKEN: %s, sent %.2f s after the acknowledgement, runs at %s from %s", a.id, q.sent.Sub(revoked).Seconds(), a.server, a.node)
		}
	}
	l.verdict(late > 0, "%d requests with a key that was taken away, sent more than %v after the acknowledgement, have run", late, revokeBound)
}

func tenantOf(key string) string {
	if key == goodKey {
		return "the first tenant"
	}
	return "the second tenant"
}
