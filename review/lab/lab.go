// Lab plays the cases of the review: it starts the routers of this project as processes, with the run line and the
// template of the deploy file, on loopback, between stand-ins of the platform's store, of servers and of clients.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lab is one run of a case.
type lab struct {
	store   *store
	access  *access // access is the machines' way to the store.
	root    string
	tmp     string
	cleanup string // cleanup is the folder to remove at the end, if any.
	trouble bool
	began   time.Time
	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	routers []*router
	serial  atomic.Int64
}

func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
	_ = l.record.Flush()
}

// id returns a new attempt id.
func (l *lab) id() string { return fmt.Sprintf("%016x", 0x51000000+l.serial.Add(1)) }

// router is one process of the system.
type router struct {
	name, zone          string
	front, ready, peers string
	others              string
	store               *access
	command             *exec.Cmd
	exited              chan struct{}
}

// freePort returns a free port below those that the system gives to outgoing connections.
func freePort() string {
	for {
		port := strconv.Itoa(15000 + rand.IntN(15000))
		ln, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err != nil {
			continue
		}
		ln.Close()
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		return port
	}
}

var usedPorts = map[string]bool{}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)\}\}`)

// bounds are those of the small deployments.
var bounds = map[string]string{
	"bounds.revokeMs": "5000", "bounds.budgetRatio": "0.2", "bounds.budgetSlack": "54", "bounds.coldOver": "1.5", "bounds.coldSlack": "5",
	"limits.memoryMb": "284", "limits.cpuShare": "0.4", "limits.maxFds": "4100", "region": "lab",
}

// startRouter renders the template of the deploy file and starts a router.
func (l *lab) startRouter(name, zone string) *router {
	if l.access == nil {
		l.access = l.store.listen()
	}
	r := &router{name: name, zone: zone, store: l.access}
	r.front, r.ready = "127.0.0.1:"+freePort(), "127.0.0.1:"+freePort()
	r.peers, r.others = freePort(), freePort()
	l.routers = append(l.routers, r)
	l.run(r)
	return r
}

func (l *lab) run(r *router) {
	template, err := os.ReadFile(filepath.Join(l.root, "deploy/settings.toml"))
	if err != nil {
		fail(err)
	}
	values := map[string]string{
		"node": r.name, "zone": r.zone, "listen.front": r.front, "listen.ready": r.ready, "ip": "127.0.0.1",
		"internalPorts.0": r.peers, "internalPorts.1": r.others, "platform.addr": r.store.addr,
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(m string) string {
		key := m[2 : len(m)-2]
		if v, ok := values[key]; ok {
			return v
		}
		return bounds[key]
	})
	path := filepath.Join(l.tmp, r.name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		fail(err)
	}
	out, err := os.Create(filepath.Join(l.tmp, r.name+".log"))
	if err != nil {
		fail(err)
	}
	r.command = exec.Command(filepath.Join(l.root, "target/ryelug"), "router")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.tmp, "RYELUG_SETTINGS=" + path}
	r.command.Stdout, r.command.Stderr, r.command.Dir = out, out, l.root
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		fail(err)
	}
	r.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		l.logf("router %s has ended: %v", r.name, command.ProcessState)
		close(exited)
	}(r.command, r.exited)
	l.logf("router %s starts in %s, front %s", r.name, r.zone, r.front)
}

// signal sends a signal to a router that this run has started.
func (l *lab) signal(r *router, s syscall.Signal) {
	l.logf("router %s gets %v", r.name, s)
	_ = r.command.Process.Signal(s)
}

// awaitReady waits until all routers say that they are ready.
func (l *lab) awaitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, r := range l.routers {
		for {
			resp, err := client.Get("http://" + r.ready + "/healthz")
			if err == nil {
				resp.Body.Close()
			}
			if err == nil && resp.StatusCode == 200 {
				break
			}
			if time.Now().After(end) {
				fail(fmt.Errorf("router %s is not ready", r.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (l *lab) close() {
	for _, r := range l.routers {
		_ = r.command.Process.Signal(syscall.SIGCONT)
		_ = r.command.Process.Kill()
		<-r.exited
	}
}

// verdict ends a run.
type verdict struct {
	broken bool
	text   string
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	if current != nil {
		current.logf("the case could not run: %v", err)
		for _, r := range current.routers {
			_ = r.command.Process.Kill()
		}
		if current.cleanup != "" {
			_ = os.RemoveAll(current.cleanup)
		}
	}
	os.Exit(2)
}

var (
	current *lab
	cases   = map[string]func(*lab) verdict{}
)

func main() {
	root := flag.String("root", ".", "root of the project")
	record := flag.String("record", "record.txt", "file for the record")
	keep := flag.String("keep", "", "folder for the logs of the routers; a temporary one by default")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fail(fmt.Errorf("no case %q", flag.Arg(0)))
	}
	tmp := *keep
	if tmp == "" {
		dir, err := os.MkdirTemp("", "review")
		if err != nil {
			fail(err)
		}
		tmp = dir
	}
	file, err := os.Create(*record)
	if err != nil {
		fail(err)
	}
	absolute, err := filepath.Abs(*root)
	if err != nil {
		fail(err)
	}
	l := &lab{store: newStore(), root: absolute, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: bufio.NewWriter(file), file: file}
	current = l
	if *keep == "" {
		l.cleanup = tmp
	}
	l.logf("case %s, trouble %v", flag.Arg(0), l.trouble)
	time.AfterFunc(115*time.Second, func() { fail(fmt.Errorf("the case took too long")) })
	v := play(l)
	l.close()
	if l.cleanup != "" {
		_ = os.RemoveAll(l.cleanup)
	}
	word := "held"
	if v.broken {
		word = "BROKEN"
	}
	l.logf("the rule was %s: %s", word, v.text)
	fmt.Println(strings.TrimSpace("the rule was " + word + ": " + v.text))
	file.Close()
	if v.broken {
		os.Exit(1)
	}
}
