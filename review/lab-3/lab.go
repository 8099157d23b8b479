// Command lab-3 plays the cases of the third review: routers as processes, with stand-ins for the platform's store, the servers and
// the clients, on loopback addresses.
package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lab is one small deployment.
type lab struct {
	store    *store
	dir      string
	routers  []*router
	servers  []*server
	peerKey  string
	began    time.Time
	version  int
	config   map[string]any
	record   *os.File
	recordMu sync.Mutex

	mu       sync.Mutex
	arrivals []*arrival
	answers  []*answer
	serial   atomic.Int64
}

// router is a process of the system.
type router struct {
	lab      *lab
	name     string
	zone     string
	front    string
	ready    string
	settings string
	cmd      *exec.Cmd
	ended    chan error
	isEnded  atomic.Bool
	// takesClients tells whether the platform sends clients there.
	takesClients atomic.Bool
	logFile      *os.File
}

func newLab(record string) *lab {
	dir, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		fail(err)
	}
	l := &lab{store: newStore(), dir: dir, began: time.Now(), peerKey: "ryelug routers of this lab"}
	if l.record, err = os.Create(record); err != nil {
		fail(err)
	}
	return l
}

// fail ends a case that can't run.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case can't run:", err)
	os.Exit(2)
}

// note writes a line to the record, with the seconds since the case began.
func (l *lab) note(format string, args ...any) {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// freePort returns a port that nothing listens on.
func freePort() int {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// newRouter writes the settings of a router from the template of the deploy file and does not start it yet.
func (l *lab) newRouter(name, zone string) *router {
	address := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
	r := &router{lab: l, name: name, zone: zone, front: address(), ready: address()}
	r.takesClients.Store(true)
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		fail(err)
	}
	peer, others := address(), address()
	store := l.store.listen(name)
	text := string(template)
	for from, to := range map[string]string{
		"{{node}}": name, "{{zone}}": zone, "{{region}}": "tbilisi", "{{listen.front}}": r.front, "{{listen.ready}}": r.ready,
		"{{ip}}:{{internalPorts.0}}": peer, "{{ip}}:{{internalPorts.1}}": others, "ryelug routers of {{platform.addr}}": l.peerKey, "{{platform.addr}}": store,
		"{{bounds.revokeMs}}": "5000", "{{bounds.budgetRatio}}": "0.2", "{{bounds.budgetSlack}}": "52", "{{bounds.coldOver}}": "1.5", "{{bounds.coldSlack}}": "5",
		"{{bounds.exposeShare}}": "", "{{bounds.exposeSlack}}": "", "{{limits.memoryMb}}": "134", "{{limits.cpuShare}}": "0.4", "{{limits.maxFds}}": "4100",
	} {
		text = strings.ReplaceAll(text, from, to)
	}
	if strings.Contains(text, "{{") {
		fail(fmt.Errorf("settings with a placeholder: %s", text))
	}
	r.settings = filepath.Join(l.dir, name+".toml")
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		fail(err)
	}
	l.routers = append(l.routers, r)
	return r
}

// start starts the process with the run line of the deploy file.
func (r *router) start() {
	var err error
	if r.logFile == nil {
		if r.logFile, err = os.Create(filepath.Join(r.lab.dir, r.name+".log")); err != nil {
			fail(err)
		}
	}
	r.cmd = exec.Command("target/ryelug", "router")
	r.cmd.Env = []string{"RYELUG_SETTINGS=" + r.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	r.cmd.Stdout, r.cmd.Stderr = r.logFile, r.logFile
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		fail(err)
	}
	r.ended = make(chan error, 1)
	r.isEnded.Store(false)
	cmd, ended := r.cmd, r.ended
	go func() {
		err := cmd.Wait()
		r.isEnded.Store(true)
		r.lab.note("router %s: its process has ended: %v", r.name, err)
		ended <- err
	}()
	r.lab.note("router %s is started, front %s", r.name, r.front)
}

// signal sends a signal to the process.
func (r *router) signal(sig syscall.Signal) {
	r.lab.note("router %s gets %v", r.name, sig)
	_ = r.cmd.Process.Signal(sig)
}

// isReady asks the router as the platform does.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.ready + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// awaitReady waits until all routers that run are ready.
func (l *lab) awaitReady() {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, r := range l.routers {
			all = all && (r.cmd == nil || r.isReady())
		}
		if all {
			l.note("all routers are ready")
			return
		}
		if time.Now().After(end) {
			l.close()
			fail(fmt.Errorf("the routers are not ready; logs in %s", l.dir))
		}
	}
}

// close ends all processes.
func (l *lab) close() {
	for _, r := range l.routers {
		if r.cmd != nil && !r.isEnded.Load() {
			_ = r.cmd.Process.Kill()
			select {
			case <-r.ended:
			case <-time.After(2 * time.Second):
			}
		}
	}
	l.record.Sync()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs:", l.dir)
	}
}

func (l *lab) addArrival(a *arrival) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, a)
	l.mu.Unlock()
}

// arrivalsOf returns the requests that reached servers.
func (l *lab) all() []*arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*arrival(nil), l.arrivals...)
}

// Routes of the configuration.
const (
	host        = "lab.example"
	draftPath   = "/draft/"
	summaryPath = "/summary/"
	filingPath  = "/filing/"
	statusPath  = "/status/"
	goodKey     = "key-of-the-first-tenant"
	otherKey    = "key-of-the-second-tenant"
)

// configure writes a configuration like that of a small deployment; change may alter it.
func (l *lab) configure(change func(config map[string]any)) {
	l.version += 3
	engine := map[string]any{"slots": 64, "kvCapacity": 454050, "kvTokenBytes": 35136, "linkMbps": 350000.0, "moves": true, "backups": true, "stride": 7, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}}}
	route := func(name, prefix, kind, service string, timeout, slo, attempts int, resumable bool) map[string]any {
		one := map[string]any{"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "sloMs": slo, "priority": 1, "service": service, "maxAttempts": attempts, "public": false, "sessionAffinity": kind == "streaming", "resumable": resumable}
		if kind == "streaming" {
			one["gapSloMs"] = 300
		}
		return one
	}
	l.config = map[string]any{
		"version": l.version,
		"routes": []any{
			route("r-draft", draftPath, "streaming", "ryelug-pool", 12000, 600, 1, false),
			route("r-summary", summaryPath, "streaming", "ryelug-pool", 10000, 400, 2, true),
			route("r-filing", filingPath, "unsafe", "claims-api", 1500, 150, 1, false),
			route("r-status", statusPath, "safe", "claims-api", 1500, 150, 2, false),
		},
		"services": []any{
			map[string]any{"name": "ryelug-pool", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 16.0, "engine": engine},
			map[string]any{"name": "claims-api", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 290000},
		"tenants": []any{map[string]any{"name": "first", "apiKeys": []any{goodKey}, "priority": 1}, map[string]any{"name": "second", "apiKeys": []any{otherKey}, "priority": 1}},
	}
	if change != nil {
		change(l.config)
	}
	l.store.set("config", "main", l.config)
	l.note("the configuration of version %d is acknowledged", l.version)
}

// request is what a client sends.
type request struct {
	method, path, key string
	deadline          time.Duration
	body              []byte
	stream            bool
	header            []string // further lines
	id                string
	prefix, counts    string
}

// answer is what a client got.
type answer struct {
	request  request
	router   string
	sent     time.Time
	ended    time.Time
	status   int
	seal     string
	leaving  bool
	header   http.Header
	body     []byte
	complete bool
	err      error
}

func (l *lab) newID() string { return fmt.Sprintf("%08x%08x", l.serial.Add(1), rand.Uint32()) }

// client is a connection of a client to a router; it connects anew after each end of the connection.
type client struct {
	lab    *lab
	router *router
	addr   string
	conn   net.Conn
	in     *bufio.Reader
}

func (l *lab) newClient(r *router) *client { return &client{lab: l, router: r, addr: r.front} }

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// text returns the bytes of a request.
func (q *request) text() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds(), q.key)
	if q.stream {
		prefix := q.prefix
		if prefix == "" {
			prefix = "5c1e07a2:400,91bd3f06:200," + q.id[8:] + ":300"
		}
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Counts: %s\r\nX-Prompt-Prefix: %s\r\n", cmp.Or(q.counts, "900,84"), prefix)
	}
	for _, line := range q.header {
		b.WriteString(line + "\r\n")
	}
	if q.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}

// send sends one request and reads its answer; the connection stays open if the answer allows it.
func (c *client) send(q request) *answer {
	if q.id == "" {
		q.id = c.lab.newID()
	}
	a := &answer{request: q, router: c.router.name}
	defer func() {
		a.ended = time.Now()
		c.lab.mu.Lock()
		c.lab.answers = append(c.lab.answers, a)
		c.lab.mu.Unlock()
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	a.sent = time.Now()
	c.conn.SetDeadline(time.Now().Add(q.deadline + 500*time.Millisecond))
	if _, a.err = c.conn.Write(q.text()); a.err != nil {
		c.close()
		return a
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, a.header, a.seal, a.leaving = resp.StatusCode, resp.Header, resp.Header.Get("X-Server-Seal"), resp.Header.Get("Server-Leaving") == "1"
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
	if a.err != nil || resp.Close {
		c.close()
	}
	return a
}

// Requests of the four routes.
func (l *lab) filing() request {
	return request{method: "POST", path: filingPath + "x", key: goodKey, deadline: 1500 * time.Millisecond, body: []byte("a claim")}
}

func (l *lab) status() request {
	return request{method: "GET", path: statusPath + "x", key: goodKey, deadline: 1500 * time.Millisecond}
}

func (l *lab) summary() request {
	return request{method: "POST", path: summaryPath + "x", key: goodKey, deadline: 10 * time.Second, body: []byte("a prompt"), stream: true}
}

func (l *lab) draft() request {
	return request{method: "POST", path: draftPath + "x", key: goodKey, deadline: 12 * time.Second, body: []byte("a prompt"), stream: true}
}

// hasTrouble tells whether the case plays its disruption.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// verdict ends a case.
func (l *lab) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.note("%s", text)
	fmt.Println(text)
	l.close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

func main() {
	if len(os.Args) < 3 {
		fail(fmt.Errorf("usage: lab-3 CASE RECORD"))
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fail(fmt.Errorf("no case %q", os.Args[1]))
	}
	play(newLab(os.Args[2]))
}
