package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["poison"] = poison }

// poison sends requests with a part that crashes each server that begins to write an answer on it.
func poison(l *lab) verdict {
	const deadly, common = "dead0001", "c0330001"
	var (
		mu      sync.Mutex
		crashes []time.Time
		late    []string // late are the requests with the part that reached servers too late.
	)
	const stability = 3 * time.Second
	handle := func(c *call) bool {
		isDeadly := false
		for _, part := range c.parts() {
			isDeadly = isDeadly || part == deadly
		}
		if !isDeadly || !l.trouble {
			return c.stream(12, 40*time.Millisecond)
		}
		mu.Lock()
		if len(crashes) >= 5 && time.Since(crashes[4]) > stability {
			late = append(late, c.id)
		}
		mu.Unlock()
		l.logf("server %s begins to write an answer on %s, which holds the deadly part", c.server.id, c.id)
		time.Sleep(30 * time.Millisecond)
		c.head()
		_ = c.chunk(c.piece(c.last() + 1))
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		crashes = append(crashes, time.Now())
		count := len(crashes)
		mu.Unlock()
		l.logf("server %s crashes (crash %d)", c.server.id, count)
		c.server.crash()
		go func() {
			s := c.server
			time.Sleep(3 * time.Second)
			s.start()
		}()
		return false
	}
	l.configure(1, routes())
	zones := []string{"a", "b", "c"}
	l.servers(pool, 6, 64, zones, handle)
	for i, zone := range zones {
		l.startRouter(fmt.Sprintf("front-%s-1", zone), zones[i])
	}
	l.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	var wait sync.WaitGroup
	served, sent := 0, 0
	every(50*time.Millisecond, 45*time.Second, func(n int) {
		wait.Add(1)
		defer wait.Done()
		id := l.id()
		shared := []string{common}
		isDeadly := n%20 == 10
		if isDeadly {
			shared = append(shared, deadly)
		} else {
			shared = append(shared, fmt.Sprintf("50%06x", n%7))
		}
		r := request{method: "POST", path: "/plan/x", id: id, header: prompt("0a"+id[8:], 80, shared...), body: "{}", deadline: 12 * time.Second, tenantKey: key}
		a := l.send(l.routers[n%len(l.routers)].front, r, 13*time.Second)
		if isDeadly {
			l.logf("client: the request %s with the deadly part: %s", id, a)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		sent++
		if a.status == 200 && a.whole {
			served++
		}
	})
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	return verdict{len(late) > 3, fmt.Sprintf("%d crashes; %d requests with the part reached servers later than 3 s after the fifth crash (3 are allowed); %d of %d sound requests served", len(crashes), len(late), served, sent)}
}
