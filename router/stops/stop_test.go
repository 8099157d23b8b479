package stops_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	seeds   = flag.Int("seeds", 2, "number of seeds of the soak")
	first   = flag.Uint64("first", 101, "first seed of the soak")
	seconds = flag.Float64("seconds", 10, "time of traffic per seed, in seconds")
)

const (
	keptCallers   = 8 // keptCallers, partCallers and singleCallers are the numbers of callers per router.
	partCallers   = 4
	singleCallers = 3
	floodConns    = 150
	minPaused     = 250 * time.Millisecond // minPaused and maxPaused limit how long a process gets no processor time.
	maxPaused     = 600 * time.Millisecond
	minBetween    = 50 * time.Millisecond // minBetween and maxBetween limit the time between two actions of a kind.
	maxBetween    = 700 * time.Millisecond
	maxReported   = 4               // maxReported limits the lost requests that are printed per seed and fault.
	exitLimit     = 8 * time.Second // exitLimit is how long after its grace period a process may take to end.
)

// soak is one seeded run.
type soak struct {
	*fleet
	random  *rand.Rand // random is used by the goroutine that plans the actions.
	callers *callers
	acting  sync.WaitGroup
	flood   sync.WaitGroup

	mu    sync.Mutex
	stops []stop
}

// Guards against requests that end without an answer around planned stops.
func TestStopsLoseNoRequest(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "ryelug")
	if out, err := exec.Command("go", "build", "-race="+strconv.FormatBool(hasRaceDetector()), "-o", binary, "ryelug/cmd/ryelug").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, binary, seed) })
	}
}

// hasRaceDetector reports whether the test was built with the race detector; the routers are then, too.
func hasRaceDetector() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}

func runSoak(t *testing.T, binary string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	grace := 1500*time.Millisecond + randomUpTo(random, time.Second).Round(time.Millisecond)
	lag := 300*time.Millisecond + randomUpTo(random, 200*time.Millisecond).Round(time.Millisecond)
	s := &soak{fleet: newFleet(t, binary, grace, lag), random: random, callers: &callers{longEach: 12 * int(seed%2)}}
	for _, one := range s.routers {
		s.callers.addresses = append(s.callers.addresses, one.callers)
	}
	enough := make(chan struct{})
	var calling sync.WaitGroup
	for i := range routers * (keptCallers + partCallers + singleCallers) {
		kind := i / routers
		one := &caller{
			all: s.callers, router: i % routers, random: rand.New(rand.NewPCG(seed, uint64(i+1))),
			inParts: kind >= keptCallers && kind < keptCallers+partCallers, single: kind >= keptCallers+partCallers,
		}
		calling.Go(func() { one.run(enough) })
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(*seconds*float64(time.Second)))
	defer cancel()
	s.acting.Go(func() { s.change(ctx, rand.New(rand.NewPCG(seed, uint64(routers)<<32))) })
	s.act(ctx, lag)
	s.acting.Wait()
	close(enough)
	calling.Wait()
	s.flood.Wait()
	s.judge()
}

// act sends signals to the routers until ctx ends; the stops overlap.
func (s *soak) act(ctx context.Context, lag time.Duration) {
	for ctx.Err() == nil {
		one := s.random.IntN(routers)
		if s.random.IntN(2) == 0 {
			s.routers[one].reload()
		} else if s.routers[one].claim() {
			plan := s.plan(one, lag)
			s.acting.Go(func() { s.replace(plan) })
		}
		time.Sleep(minBetween + randomUpTo(s.random, maxBetween-minBetween))
	}
}

// change puts configurations into force until ctx ends.
func (s *soak) change(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		s.publish(ctx)
		time.Sleep(minBetween + randomUpTo(random, maxBetween-minBetween))
	}
}

// stopPlan is what happens to a router around its stop.
type stopPlan struct {
	router   int
	queued   bool          // queued means that connections wait in the queue of the listener when the signal arrives.
	pauseAt  time.Duration // pauseAt is the time from the signal to the pause.
	pauseFor time.Duration // pauseFor is how long the process gets no processor time; zero means no pause.
	flooded  bool          // flooded means that new connections arrive in the pause.
	seed     uint64
}

// plan draws a stop.
func (s *soak) plan(router int, lag time.Duration) stopPlan {
	p := stopPlan{router: router, queued: s.random.IntN(3) == 0, flooded: s.random.IntN(2) == 0, seed: s.random.Uint64()}
	p.pauseAt = lag - maxPaused/2 + randomUpTo(s.random, s.grace-lag+maxPaused/2)
	if s.random.IntN(3) == 0 {
		p.pauseAt = s.grace - randomUpTo(s.random, minPaused) // The grace period ends during the pause.
	}
	if s.random.IntN(4) > 0 {
		p.pauseFor = minPaused + randomUpTo(s.random, maxPaused-minPaused)
	}
	return p
}

// replace stops a router as planned and starts the next process at the same addresses when it has ended.
func (s *soak) replace(plan stopPlan) {
	one := s.routers[plan.router]
	if plan.queued {
		one.signal(syscall.SIGSTOP)
		s.startFlood(plan)
		time.Sleep(minPaused)
	}
	one.signal(syscall.SIGTERM)
	one.signal(syscall.SIGCONT)
	signal := time.Now()
	s.mu.Lock()
	s.stops = append(s.stops, stop{router: plan.router, signal: signal, grace: s.grace, plan: plan})
	s.mu.Unlock()
	if plan.pauseFor > 0 {
		time.Sleep(time.Until(signal.Add(plan.pauseAt)))
		one.signal(syscall.SIGSTOP)
		if plan.flooded {
			s.startFlood(plan)
		}
		time.Sleep(plan.pauseFor)
		one.signal(syscall.SIGCONT)
	}
	select {
	case <-one.ended:
		if one.err != nil {
			s.t.Errorf("router %d ended with %v", plan.router, one.err)
		}
	case <-time.After(time.Until(signal.Add(s.grace + exitLimit))):
		s.t.Errorf("router %d has not ended %v after its grace period", plan.router, exitLimit)
		return
	}
	s.start(one)
	s.awaitServing(one, http.StatusOK, http.StatusServiceUnavailable)
}

// startFlood opens many connections to a router, each with one request.
func (s *soak) startFlood(plan stopPlan) {
	for i := range floodConns {
		one := &caller{all: s.callers, router: plan.router, random: rand.New(rand.NewPCG(plan.seed, uint64(i)))}
		s.flood.Go(func() {
			defer one.close()
			if one.connect() {
				one.request()
			}
		})
	}
}

// judge reports all requests that were lost or run wrongly.
func (s *soak) judge() {
	s.t.Helper()
	wrong, answered, statuses := make(map[string]int), 0, make(map[int]int)
	for i := range s.callers.outcomes {
		one := &s.callers.outcomes[i]
		if one.err == nil {
			answered++
			statuses[one.status]++
		}
		ran := s.runs.snapshot(one.mark)
		fault := verdict(one, ran, s.stops)
		if fault == "" {
			continue
		}
		fault += ", " + how(one.err)
		if wrong[fault]++; wrong[fault] <= maxReported {
			s.t.Logf("a request %s: %s", fault, describe(one, ran, s.stops))
		}
	}
	s.t.Logf("grace %v; %d stops, %d changes; %d requests, %d answered (by status %v), %d connections refused", s.grace, len(s.stops), s.changes,
		len(s.callers.outcomes), answered, statuses, s.callers.unconnects)
	for fault, count := range wrong {
		s.t.Errorf("%d requests: %s", count, fault)
	}
	is.New(s.t).True(answered > 0)
}
