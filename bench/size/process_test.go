package size

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/config"
	"ryelug/io/platform"
	"ryelug/router/publish"
)

const (
	processRest    = 5 * time.Second  // processRest lets a router come to rest.
	processSpan    = 20 * time.Second // processSpan is the time over which processor time is counted.
	ticksPerSecond = 100              // ticksPerSecond is the unit of processor time in /proc.
)

// TestProcess measures resident memory and processor time of one idle router process; it runs when it is asked for.
func TestProcess(t *testing.T) {
	if flag.Lookup("slopes").Value.String() != "process" {
		t.Skip("measures only with -slopes process")
	}
	binary := filepath.Join(t.TempDir(), "ryelug")
	out, err := exec.Command("go", "build", "-o", binary, "ryelug/cmd/ryelug").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, teams := range []int{16, 1600, 12000} {
		measureProcess(t, binary, teams)
	}
}

func measureProcess(t *testing.T, binary string, teams int) {
	is := is.New(t)
	peers, callers, operators := freePort(is), freePort(is), freePort(is)
	store := startStandin(t, binary, "platform", "-listen", "127.0.0.1:0", "-environment", "size", "-host", "host-1,dc-a,"+peers.String())
	engine := startStandin(t, binary, "engine", "-listen", "127.0.0.1:0", "-name", "engine-1")
	publishSize(t, store, engine, teams)
	file := filepath.Join(t.TempDir(), "router.toml")
	text := fmt.Sprintf("host = \"host-1\"\ndata_centre = \"dc-a\"\nenvironment = \"size\"\ncallers_address = %q\noperator_address = %q\n"+
		"peer_address = %q\nplatform_address = %q\npeer_key = \"a key for this measure\"\nlog_level = \"error\"\n", callers, operators, peers, store)
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	router := exec.Command(binary, "router", "-settings", file)
	router.Stderr = os.Stderr
	is.NoErr(router.Start())
	defer func() { _ = router.Process.Kill(); _ = router.Wait() }()
	awaitHealthy(t, operators)
	time.Sleep(processRest)
	before := processorTime(is, router.Process.Pid)
	time.Sleep(processSpan)
	spent := processorTime(is, router.Process.Pid) - before
	t.Logf("%d teams: %.1f MB resident, %.1f ms of processor a second", teams, residentMB(is, router.Process.Pid),
		float64(spent.Milliseconds())/processSpan.Seconds())
}

// publishSize puts a document with so many teams and ten endpoints in force.
func publishSize(t *testing.T, store, engine netip.AddrPort, teams int) {
	is := is.New(t)
	doc := &config.Document{
		Environment: "size",
		Teams:       manyTeams(teams),
		DataCentres: []config.DataCentre{{Name: "dc-a", Region: "khomas"}},
		Pools: []config.Pool{{
			Name: "chat", Kind: config.Engine, Model: "plans", QueueLimit: 100, QueueTimeout: time.Minute,
			LongestRequest: time.Minute, LargestCost: 1000, WarmUpRequests: 4,
		}},
	}
	for i := range doc.Teams {
		doc.Teams[i].KeyHashes = []string{fmt.Sprintf("%064x", i)}
	}
	doc.Endpoints = []config.Endpoint{{Name: "engine-1", Pool: "chat", DataCentre: "dc-a", Address: engine, WarmLimit: 8, ColdLimit: 2}}
	client := platform.New(platform.Config{Address: store, Environment: "size"})
	defer client.Close()
	publisher := publish.New(publish.Config{Platform: client, Environment: "size"})
	base, err := publisher.Read(context.Background())
	is.NoErr(err)
	_, err = publisher.Put(context.Background(), publish.Change{Base: base, Document: doc, Text: "size"})
	is.NoErr(err)
}

func startStandin(t *testing.T, binary string, args ...string) netip.AddrPort {
	is := is.New(t)
	started := exec.Command(binary, append([]string{"standin"}, args...)...)
	out, err := started.StdoutPipe()
	is.NoErr(err)
	is.NoErr(started.Start())
	t.Cleanup(func() { _ = started.Process.Kill(); _ = started.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	return netip.MustParseAddrPort(strings.TrimSpace(strings.TrimPrefix(line, "listening on ")))
}

func freePort(is *is.I) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func awaitHealthy(t *testing.T, operators netip.AddrPort) {
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		if status, _, err := fasthttp.Get(nil, "http://"+operators.String()+"/healthz"); err == nil && status == fasthttp.StatusOK {
			return
		}
	}
	t.Fatal("no healthy router within a minute")
}

func processorTime(is *is.I, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	is.NoErr(err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, err := strconv.Atoi(fields[11])
	is.NoErr(err)
	system, err := strconv.Atoi(fields[12])
	is.NoErr(err)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

func residentMB(is *is.I, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	is.NoErr(err)
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kilobytes, err := strconv.Atoi(fields[1])
			is.NoErr(err)
			return float64(kilobytes) / 1024
		}
	}
	return 0
}
