package size

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"ryelug/bench"
	"ryelug/core/config"
	"ryelug/standin/fleet"
)

const (
	slopeSpan   = 10 * time.Second
	slopeTokens = 5
	largestCost = 16
)

// Size is what a fleet of one slope is made of.
type Size struct {
	Routers   int `json:"routers"`
	Teams     int `json:"teams"`
	Endpoints int `json:"endpoints"`
	Callers   int `json:"callers"` // Callers of a router send one request a second each.
}

// Slope is what a fleet of one size spends.
type Slope struct {
	Size
	Control       bench.Rates `json:"control"`
	ProcessorTime float64     `json:"processor_ms"` // ProcessorTime is in milliseconds a node and second, stand-ins included.
	Heap          float64     `json:"heap_mb"`      // Heap is in megabytes a node, stand-ins included.
	Served        int         `json:"served"`
	PollBytes     float64     `json:"poll_bytes"`   // PollBytes are those of load reports and requests, a second and endpoint.
	Adoption      float64     `json:"adoption_s"`   // Adoption is the time in which a change is in force at all routers.
	ChangeBytes   float64     `json:"change_bytes"` // ChangeBytes are those that a node sends and gets while a change spreads.
}

// Measure runs a fleet of one size for a while.
func Measure(ctx context.Context, size Size, seed uint64) (Slope, error) {
	before := heap()
	f := fleet.New(fleet.Config{
		Routers:     size.Routers,
		Engines:     size.Endpoints,
		Teams:       manyTeams(size.Teams),
		DataCentres: bench.Deployments()[0].DataCentres,
		Delay:       bench.Deployments()[0].NetworkDelay(),
		Seed:        seed,
		Engine:      bench.Engine(),
		LargestCost: largestCost,
	})
	if err := f.Start(ctx); err != nil {
		return Slope{}, err
	}
	if err := f.Await(ctx); err != nil {
		return Slope{}, err
	}
	run := f.Drive(ctx, slopeLoads(size)...)
	time.Sleep(slopeSpan)
	first, polled := bench.ReadControl(ctx, f), endpointBytes(f)
	time.Sleep(slopeSpan)
	polled = endpointBytes(f) - polled
	spent := bench.ReadControl(ctx, f).Since(first)
	slope := Slope{Size: size, Control: spent.Rates(), ProcessorTime: spent.ProcessorRate()}
	slope.Heap = (heap() - before) / float64(size.Routers)
	slope.PollBytes = float64(polled) / float64(size.Endpoints) / slopeSpan.Seconds()
	first = bench.ReadControl(ctx, f)
	adopted, err := adoption(ctx, f)
	if err != nil {
		return Slope{}, err
	}
	slope.Adoption = adopted.Seconds()
	change := bench.ReadControl(ctx, f).Since(first)
	slope.ChangeBytes = change.Rates().BytesMean * change.Span.Seconds()
	slope.Served = len(run.Stop())
	return slope, f.Close()
}

func manyTeams(count int) []config.Team {
	teams := make([]config.Team, count)
	for i := range teams {
		teams[i] = config.Team{Name: fmt.Sprintf("team-%05d", i), Share: 1 + i%4}
	}
	return teams
}

// slopeLoads lets each caller be of another team, as far as there are teams.
func slopeLoads(size Size) []fleet.Load {
	var loads []fleet.Load
	for i := range size.Routers * size.Callers {
		loads = append(loads, fleet.Load{
			Team:    fmt.Sprintf("team-%05d", i%size.Teams),
			Callers: 1,
			Routers: []int{i % size.Routers},
			Tokens:  slopeTokens,
			Pause:   time.Second - bench.FirstTokenTime - slopeTokens*bench.TokenGap,
		})
	}
	return loads
}

// endpointBytes returns the bytes to and from all endpoints so far.
func endpointBytes(f *fleet.Fleet) int64 {
	var sum int64
	for _, e := range f.Document.Endpoints {
		sum += f.Network.Sent(e.Address)
	}
	return sum
}

// adoption changes one data centre and returns the time until all routers have the new generation.
func adoption(ctx context.Context, f *fleet.Fleet) (time.Duration, error) {
	began := time.Now()
	generation := f.Routers[0].Router().Health().Generation
	if err := f.TakeOut(ctx, f.Document.DataCentres[0].Name, true); err != nil {
		return 0, err
	}
	for !adopted(f, generation+1) {
		if time.Since(began) > time.Minute {
			return time.Since(began), nil
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began), nil
}

func adopted(f *fleet.Fleet, generation uint64) bool {
	for _, m := range f.Routers {
		if m.Router().Health().Generation < generation {
			return false
		}
	}
	return true
}

// heap returns the megabytes of live heap.
func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}
