package size_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
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
	"ryelug/standin/fleet"
)

const (
	processRest    = 5 * time.Second  // processRest lets a router come to rest after the first answers.
	processSpan    = 20 * time.Second // processSpan is the time over which processor time is counted.
	ticksPerSecond = 100              // ticksPerSecond is the unit of processor time in /proc.
	processLimit   = 512              // processLimit is the warm and the cold limit of an engine.
	processModel   = "plans"
)

// processSize is a fleet of router processes with an engine each, and the streams that each router carries.
type processSize struct {
	Routers int `json:"routers"`
	Teams   int `json:"teams"`
	Streams int `json:"streams"`
	Tokens  int `json:"tokens"` // Tokens are those of one answer.
}

// processSlope is what a router process spends.
type processSlope struct {
	processSize
	Requests      float64 `json:"requests"`     // Requests are those answered a second and router.
	TokenRate     float64 `json:"token_rate"`   // TokenRate is the tokens a second and router.
	ProcessorMean float64 `json:"processor_ms"` // ProcessorMean is in milliseconds a second.
	ProcessorMost float64 `json:"processor_ms_most"`
	ResidentMean  float64 `json:"resident_mb"`
	ResidentMost  float64 `json:"resident_mb_most"`
}

// processSizes are those of each slope. At the target a router carries 6.3 requests a second of 223 tokens each, in 70 streams.
var processSizes = map[string][]processSize{
	"process": {{1, 16, 0, 0}, {1, 1600, 0, 0}, {1, 12000, 0, 0}},
	"links":   {{2, 16, 0, 0}, {4, 16, 0, 0}, {8, 16, 0, 0}, {16, 16, 0, 0}},
	"load":    {{1, 12000, 0, 0}, {1, 12000, 6, 1}, {1, 12000, 24, 1}, {1, 12000, 96, 1}, {1, 12000, 35, 223}, {1, 12000, 70, 223}, {1, 12000, 140, 223}},
	"target":  {{7, 12000, 0, 0}, {7, 12000, 70, 223}},
}

// TestProcess measures router processes in real time; it runs when it is asked for.
func TestProcess(t *testing.T) {
	sizes := processSizes[*slopes]
	if sizes == nil {
		t.Skip(`measures only with -slopes "process", "links", "load" or "target"`)
	}
	binary := buildProgram(t)
	for _, one := range sizes {
		t.Run(fmt.Sprintf("%+v", one), func(t *testing.T) {
			line, err := json.Marshal(measureProcess(t, binary, one))
			is.New(t).NoErr(err)
			t.Log(string(line))
		})
	}
}

func buildProgram(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "ryelug")
	out, err := exec.Command("go", "build", "-o", binary, "ryelug/cmd/ryelug").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// process is a router process.
type process struct {
	name                      string
	peers, callers, operators netip.AddrPort
	pid                       int
}

func measureProcess(t *testing.T, binary string, size processSize) processSlope {
	is := is.New(t)
	routers := make([]process, size.Routers)
	hosts := []string{"platform", "-listen", "127.0.0.1:0", "-environment", "size"}
	for i := range routers {
		routers[i] = process{name: fmt.Sprintf("host-%d", i+1), peers: freePort(is), callers: freePort(is), operators: freePort(is)}
		hosts = append(hosts, "-host", routers[i].name+",dc-a,"+routers[i].peers.String())
	}
	store := startStandin(t, binary, hosts...)
	limit := strconv.Itoa(processLimit)
	var engines []netip.AddrPort
	for i := range routers {
		engines = append(engines, startStandin(t, binary, "engine", "-listen", "127.0.0.1:0", "-name", fmt.Sprintf("engine-%d", i+1),
			"-warm_limit", limit, "-cold_limit", limit, "-token_gap", "49ms"))
	}
	publishSize(t, store, engines, size.Teams)
	for i := range routers {
		routers[i].start(t, binary, store)
	}
	for _, one := range routers {
		awaitHealthy(t, one.operators)
	}
	load := drive(t, routers, size)
	time.Sleep(processRest + time.Duration(size.Tokens)*tokenGap)
	return measureSpan(is, routers, size, load)
}

// measureSpan counts what the routers spend over a while.
func measureSpan(is *is.I, routers []process, size processSize, load *streams) processSlope {
	slope := processSlope{processSize: size}
	before := make([]time.Duration, len(routers))
	for i, one := range routers {
		before[i] = processorTime(is, one.pid)
	}
	answers, tokens := load.answers.Load(), load.tokens.Load()
	time.Sleep(processSpan)
	count := float64(len(routers))
	for i, one := range routers {
		spent := float64((processorTime(is, one.pid) - before[i]).Milliseconds()) / processSpan.Seconds()
		resident := residentMB(is, one.pid)
		slope.ProcessorMean += spent / count
		slope.ProcessorMost = max(slope.ProcessorMost, spent)
		slope.ResidentMean += resident / count
		slope.ResidentMost = max(slope.ResidentMost, resident)
	}
	slope.Requests = float64(load.answers.Load()-answers) / count / processSpan.Seconds()
	slope.TokenRate = float64(load.tokens.Load()-tokens) / count / processSpan.Seconds()
	is.Equal(load.failures.Load(), int64(0))
	return slope
}

func (p *process) start(t *testing.T, binary string, store netip.AddrPort) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "router.toml")
	text := fmt.Sprintf("host = %q\ndata_centre = \"dc-a\"\nenvironment = \"size\"\ncallers_address = %q\noperator_address = %q\n"+
		"peer_address = %q\nplatform_address = %q\npeer_key = \"a key for this measure\"\nlog_level = \"error\"\nbalancer_lag = \"0s\"\n",
		p.name, p.callers, p.operators, p.peers, store)
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	router := exec.Command(binary, "router", "-settings", file)
	router.Stderr = os.Stderr
	is.NoErr(router.Start())
	t.Cleanup(func() { _ = router.Process.Kill(); _ = router.Wait() })
	p.pid = router.Process.Pid
}

// publishSize puts a document with so many teams and the engines in force.
func publishSize(t *testing.T, store netip.AddrPort, engines []netip.AddrPort, teams int) {
	is := is.New(t)
	client := platform.New(platform.Config{Address: store, Environment: "size"})
	defer client.Close()
	publisher := publish.New(publish.Config{Platform: client, Environment: "size"})
	base, err := publisher.Read(context.Background())
	is.NoErr(err)
	_, err = publisher.Put(context.Background(), publish.Change{Base: base, Document: sizeDocument(engines, teams), Description: "size"})
	is.NoErr(err)
}

func sizeDocument(engines []netip.AddrPort, teams int) *config.Document {
	doc := &config.Document{
		Environment: "size",
		DataCentres: []config.DataCentre{{Name: "dc-a", Region: "khomas"}},
		Pools: []config.Pool{{
			Name: "chat", Kind: config.Engine, Model: processModel, QueueLimit: 1000, QueueTimeout: time.Minute,
			LongestRequest: time.Minute, LargestCost: 1000, WarmUpRequests: 4,
		}},
	}
	for i := range teams {
		name := fmt.Sprintf("team-%05d", i)
		sum := sha256.Sum256([]byte(fleet.Key(name)))
		doc.Teams = append(doc.Teams, config.Team{Name: name, Share: 1 + i%4, KeyHashes: []string{hex.EncodeToString(sum[:])}})
	}
	for i, engine := range engines {
		doc.Endpoints = append(doc.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("engine-%d", i+1), Pool: "chat", DataCentre: "dc-a", Address: engine,
			WarmLimit: processLimit, ColdLimit: processLimit,
		})
	}
	return doc
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
