package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roll"] = roll }

// roll stops the two machines of a zone in turn while streams run that one of them has handed over to the other one.
func roll(l *lab) verdict {
	const (
		events, pause = 81, 100 * time.Millisecond // Streams take 8.1 s, of the 12 s of their route, and would end before the last sixth of graceS of the machine that takes them.
		gap           = 1300 * time.Millisecond
		grace         = 8 * time.Second
	)
	var mu sync.Mutex
	cutAt := map[string]time.Time{} // cutAt is when a server found the connection of a request closed while it was at work.
	l.configure(1, routes())
	zones := []string{"a", "b", "c"}
	l.servers(pool, 6, 64, zones, func(c *call) bool {
		if c.stream(events, pause) {
			l.logf("server %s has answered %s to its end", c.server.id, c.id)
			return true
		}
		mu.Lock()
		cutAt[c.id] = time.Now()
		mu.Unlock()
		l.logf("server %s finds the connection of %s closed while it is at work", c.server.id, c.id)
		return false
	})
	l.servers(till, 6, 6, zones, func(c *call) bool {
		time.Sleep(2 * time.Millisecond)
		return c.ok(c.id)
	})
	busy := l.startRouter("front-a-1", "a")
	other := l.startRouter("front-a-2", "a")
	l.awaitReady(15 * time.Second)
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	load := l.press(busy, 0.4, stop)
	time.Sleep(7 * time.Second)
	type stream struct {
		id        string
		sent, end time.Time
		a         answer
	}
	var streams []*stream
	var wait sync.WaitGroup
	for range 12 {
		one := &stream{id: l.id(), sent: time.Now()}
		streams = append(streams, one)
		wait.Add(1)
		go func() {
			defer wait.Done()
			r := request{method: "POST", path: "/plan/x", id: one.id, header: prompt("0a"+one.id[8:], 567, "c0330001"), body: "{}", deadline: 12 * time.Second, tenantKey: key}
			one.a = l.send(busy.front, r, 13*time.Second)
			one.end = time.Now()
			l.logf("client: %s, sent to %s at %.3f: %s", one.id, busy.name, one.sent.Sub(l.began).Seconds(), one.a)
		}()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	var stopped time.Time
	if l.trouble {
		l.signal(other, syscall.SIGTERM)
		time.Sleep(gap)
		l.signal(busy, syscall.SIGTERM)
		stopped = time.Now()
		time.AfterFunc(grace, func() { l.signal(busy, syscall.SIGKILL) })
		time.AfterFunc(grace-gap, func() { l.signal(other, syscall.SIGKILL) })
	}
	wait.Wait()
	close(stop)
	load.Wait()
	time.Sleep(500 * time.Millisecond) // Until then each server has found that its connection is closed.
	mu.Lock()
	defer mu.Unlock()
	lost, excused, served := 0, 0, 0
	for _, one := range streams {
		switch {
		case one.a.status == 200 && one.a.whole:
			served++
		case !l.trouble || one.a.status != 200:
			continue
		case one.end.After(stopped.Add(grace*5/6)) || cutAt[one.id].IsZero():
			excused++
		case one.end.After(stopped):
			lost++
		}
	}
	return verdict{lost > 0, fmt.Sprintf("of %d streams %d were served to their end, %d broke off after SIGTERM of the machine that took them and before the last sixth of graceS while their server was at work, %d later", len(streams), served, lost, excused)}
}
