package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["regress"] = regress }

// kept sends a request on a connection that stays open.
func (l *lab) kept(conn net.Conn, reader *bufio.Reader, r request) answer {
	began := time.Now()
	_ = conn.SetDeadline(began.Add(3 * time.Second))
	if _, err := io.WriteString(conn, r.bytes()); err != nil {
		return answer{err: err}
	}
	a := readAnswer(reader, r.method)
	a.took = time.Since(began)
	return a
}

// cpu returns the processor time that a process has used, in seconds.
func cpu(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100
}

// pressed is the part of its processor share to which press brings a machine: above the half from which a machine hands new
// connections over, and below the part from which it refuses requests.
const pressed = 0.62

// press keeps a machine busy with lookups on connections that stay open, at a pace that brings its processor to pressed.
func (l *lab) press(r *router, share float64, stop chan struct{}) *sync.WaitGroup {
	const clients = 12
	var (
		wait  sync.WaitGroup
		pause atomic.Int64
	)
	pause.Store(int64(40 * time.Millisecond))
	wait.Add(1)
	go func() {
		defer wait.Done()
		used, at := cpu(r.command.Process.Pid), time.Now()
		for {
			select {
			case <-stop:
				return
			case <-time.After(400 * time.Millisecond):
			}
			nowUsed, now := cpu(r.command.Process.Pid), time.Now()
			load := (nowUsed - used) / now.Sub(at).Seconds() / share
			used, at = nowUsed, now
			factor := min(1.5, max(0.7, load/pressed))
			pause.Store(min(int64(200*time.Millisecond), max(int64(500*time.Microsecond), int64(float64(pause.Load())*factor))))
		}
	}()
	for range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var conn net.Conn
			var reader *bufio.Reader
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(pause.Load())):
				}
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", r.front); err != nil {
						continue
					}
					reader = bufio.NewReader(conn)
				}
				a := l.kept(conn, reader, request{method: "GET", path: "/look/x", id: l.id(), deadline: time.Second, tenantKey: key})
				if a.err != nil || a.closes {
					conn.Close()
					conn = nil
				}
			}
		}()
	}
	return &wait
}

// regress adds routes by new versions of the configuration while one machine of a zone is busy and the other one is not.
func regress(l *lab) verdict {
	const versions, downgrade = 24, 250 * time.Millisecond
	var mu sync.Mutex
	arrived := map[string]time.Time{} // arrived is when a server began to run each request.
	zones := []string{"a", "b", "c"}
	list := routes()
	added := func(n int) routeSpec {
		return routeSpec{Name: fmt.Sprintf("new-%d", n), Host: host, PathPrefix: fmt.Sprintf("/new-%d/", n), Kind: "safe", TimeoutMs: 1000, SloMs: 150, Priority: 2, Service: till, MaxAttempts: 2}
	}
	if !l.trouble {
		for n := range versions {
			list = append(list, added(n))
		}
	}
	l.configure(1, list)
	l.servers(pool, 3, 64, zones, func(c *call) bool { return c.stream(5, 20*time.Millisecond) })
	l.servers(till, 6, 6, zones, func(c *call) bool {
		mu.Lock()
		arrived[c.id] = c.at
		mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		return c.ok(c.id)
	})
	busy := l.startRouter("front-a-1", "a")
	l.startRouter("front-a-2", "a")
	l.awaitReady(15 * time.Second)
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	probe, err := net.Dial("tcp", busy.front) // This connection is open before the machine is busy, so that the machine serves it itself.
	if err != nil {
		fail(err)
	}
	reader := bufio.NewReader(probe)
	if a := l.kept(probe, reader, request{method: "GET", path: "/look/x", id: l.id(), deadline: time.Second, tenantKey: key}); a.status != 200 || a.closes {
		fail(fmt.Errorf("the first request on the kept connection: %v", a))
	}
	load := l.press(busy, 0.4, stop)
	type sample struct {
		sent time.Time
		id   string
		kept bool
		a    answer
	}
	time.Sleep(6 * time.Second)
	broken, stale := 0, 0
	for n := range versions {
		if l.trouble {
			list = append(list, added(n))
			l.configure(n+2, list)
		}
		var samples []sample
		var wait sync.WaitGroup
		path := fmt.Sprintf("/new-%d/x", n)
		end := time.Now().Add(1200 * time.Millisecond)
		for time.Now().Before(end) {
			one := sample{sent: time.Now(), id: l.id(), kept: true}
			one.a = l.kept(probe, reader, request{method: "GET", path: path, id: one.id, deadline: time.Second, tenantKey: key})
			if one.a.err != nil || one.a.closes {
				probe.Close()
				l.logf("client: the kept connection has ended: %v", one.a)
				break
			}
			mu.Lock()
			samples = append(samples, one)
			mu.Unlock()
			wait.Add(1)
			go func() {
				defer wait.Done()
				one := sample{sent: time.Now(), id: l.id()}
				one.a = l.send(busy.front, request{method: "GET", path: path, id: one.id, deadline: time.Second, tenantKey: key}, 2*time.Second)
				mu.Lock()
				samples = append(samples, one)
				mu.Unlock()
			}()
			time.Sleep(20 * time.Millisecond)
		}
		wait.Wait()
		var seen time.Time
		mu.Lock()
		for _, one := range samples {
			if at := arrived[one.id]; one.kept && one.a.status == 200 && (seen.IsZero() || at.Before(seen)) {
				seen = at
			}
		}
		mu.Unlock()
		if seen.IsZero() {
			continue
		}
		l.logf("version %d: a server saw its effect, sent by %s, at %.3f", n+2, busy.name, seen.Sub(l.began).Seconds())
		here := 0
		for _, one := range samples {
			if one.a.status == 404 && one.sent.After(seen.Add(downgrade)) {
				here++
				l.logf("client: %s on %s sent to %s at %.3f, %d ms after a server saw the version: %s", one.id, path, busy.name, one.sent.Sub(l.began).Seconds(), one.sent.Sub(seen).Milliseconds(), one.a)
			}
		}
		stale += here
		if here > 0 {
			broken++
		}
	}
	close(stop)
	load.Wait()
	return verdict{stale > 0, fmt.Sprintf("%d requests got 404 more than 250 ms after a server saw the version that has their route, from the same machine; %d of %d versions", stale, broken, versions)}
}
