package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["freeze"] = freeze }

// freeze freezes one machine while another of its zone hands connections over to it.
func freeze(l *lab) verdict {
	const timeout, grace, patience = 1000 * time.Millisecond, 500 * time.Millisecond, 1800 * time.Millisecond
	l.configure(1, routes())
	zones := []string{"a", "b", "c"}
	l.servers(pool, 3, 64, zones, func(c *call) bool { return c.stream(5, 20*time.Millisecond) })
	l.servers(till, 6, 6, zones, func(c *call) bool {
		time.Sleep(10 * time.Millisecond)
		return c.ok(c.id)
	})
	busy := l.startRouter("front-a-1", "a")
	frozen := l.startRouter("front-a-2", "a")
	l.awaitReady(15 * time.Second)
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	load := l.press(busy, 0.4, stop)
	time.Sleep(6 * time.Second)
	var (
		mu                             sync.Mutex
		wait                           sync.WaitGroup
		over, unanswered, never, count int
		byStatus                       = map[int]int{}
	)
	if l.trouble {
		time.AfterFunc(6*time.Second, func() {
			l.signal(frozen, syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			l.signal(frozen, syscall.SIGCONT)
		})
	}
	every(10*time.Millisecond, 14*time.Second, func(int) {
		wait.Add(1)
		defer wait.Done()
		id := l.id()
		r := request{method: "GET", path: "/look/x", id: id, deadline: patience, tenantKey: key}
		sent := time.Now()
		a := l.send(busy.front, r, patience)
		mu.Lock()
		defer mu.Unlock()
		count++
		byStatus[a.status]++
		if a.took <= timeout {
			return
		}
		over++
		if a.took > timeout+grace {
			unanswered++
		}
		if a.status == 0 {
			never++
		}
		l.logf("client: %s, sent at %.3f: %s", id, sent.Sub(l.began).Seconds(), a)
	})
	wait.Wait()
	close(stop)
	load.Wait()
	return verdict{unanswered >= 8 && 2*unanswered > over, fmt.Sprintf("%d requests, by status %v; %d unanswered at timeoutMs, %d of them still half a second later; %d never answered", count, byStatus, over, unanswered, never)}
}
