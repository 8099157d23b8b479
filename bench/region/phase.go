package region

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"ryelug/bench"
	"ryelug/core/result"
	"ryelug/io/http1"
	"ryelug/standin/fleet"
)

const (
	histogramTop = int64(2 * time.Hour / time.Microsecond)
	digits       = 3
)

// Phase is what one region was like before, during or after a cut.
type Phase struct {
	Region   string         `json:"region"`
	Name     string         `json:"phase"`
	Answered float64        `json:"answered"` // Answered is the whole answers a second.
	Refused  map[string]int `json:"refused"`  // Refused counts the refusals and failures by the name of their code.
	Busy     float64        `json:"busy"`     // Busy is the part of the slots of the region's engines in use.
	First    Times          `json:"first"`    // First is the time to the first token.
}

// Times are in milliseconds.
type Times struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	Max float64 `json:"max_ms"`
}

var phaseNames = []string{"before", "cut", "after"}

// fill works out what the replies say.
func (r *run) fill(ctx context.Context, report *Report) {
	for _, region := range Regions {
		for i := range len(r.marks) - 1 {
			report.Phases = append(report.Phases, r.phase(region, phaseNames[i], r.marks[i], r.marks[i+1]))
		}
	}
	report.Retries = r.retries(ctx)
	for reason, count := range r.earlier {
		report.Retries[reason] -= count
	}
	for _, e := range r.fleet.Engines {
		report.Excesses += len(e.History().Excesses(0))
	}
	if r.plan.Cut == 0 {
		return
	}
	report.Stall, report.LastServed, report.Probes = map[string]float64{}, map[string]float64{}, map[string]map[string]int{}
	report.Recovery, report.LastRefusal = map[string]float64{}, map[string]float64{}
	for region, replies := range r.probed {
		report.Stall[region], report.LastServed[region] = served(replies, r.marks[1], r.marks[2])
		report.Recovery[region] = firstAnswer(replies, r.marks[2], r.marks[3])
		report.LastRefusal[region] = lastRefusal(replies, r.marks[2])
		report.Probes[region] = codes(replies)
	}
}

func (r *run) phase(region, name string, from, to time.Time) Phase {
	phase := Phase{Region: region, Name: name, Refused: map[string]int{}, Busy: r.busy(region, from, to)}
	first := hdrhistogram.New(1, histogramTop, digits)
	for _, reply := range r.replies[region] {
		if reply.Sent.Before(from) || !reply.Sent.Before(to) {
			continue
		}
		if !reply.Whole() {
			info, _ := result.Lookup(reply.Code)
			phase.Refused[info.Name]++
			continue
		}
		phase.Answered += 1 / to.Sub(from).Seconds()
		_ = first.RecordValue(max(1, reply.First.Microseconds()))
	}
	phase.First = Times{milliseconds(first.ValueAtPercentile(50)), milliseconds(first.ValueAtPercentile(95)), milliseconds(first.Max())}
	return phase
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

// busy returns the part of the slots of a region's engines that are in use.
func (r *run) busy(region string, from, to time.Time) float64 {
	var busy, whole time.Duration
	for i, e := range r.fleet.Engines {
		if regionOf(r.fleet.Document.Endpoints[i].DataCentre) == region {
			busy += e.History().BusyTime(from, to)
			whole += to.Sub(from) * time.Duration(bench.Engine().WarmLimit)
		}
	}
	return busy.Seconds() / whole.Seconds()
}

// firstAnswer returns the seconds until the first token of a request sent from one time to another; -1 if there is none.
func firstAnswer(replies []*fleet.Reply, from, to time.Time) float64 {
	first := -1.0
	for _, reply := range replies {
		if !reply.Whole() || reply.Sent.Before(from) || !reply.Sent.Before(to) {
			continue
		}
		if came := reply.Sent.Add(reply.First).Sub(from).Seconds(); first < 0 || came < first {
			first = came
		}
	}
	return first
}

// served returns the longest time without a first token from one time to another, and when the last request that was answered by then was sent.
func served(replies []*fleet.Reply, from, to time.Time) (stall, last float64) {
	came := []time.Time{from, to}
	for _, reply := range replies {
		at := reply.Sent.Add(reply.First)
		if !reply.Whole() || at.Before(from) || at.After(to) {
			continue
		}
		came = append(came, at)
		last = max(last, reply.Sent.Sub(from).Seconds())
	}
	slices.SortFunc(came, time.Time.Compare)
	for i := range came[1:] {
		stall = max(stall, came[i+1].Sub(came[i]).Seconds())
	}
	return stall, last
}

// lastRefusal returns the seconds from a time until the last refusal or failure of a request that was sent after it.
func lastRefusal(replies []*fleet.Reply, since time.Time) float64 {
	last := 0.0
	for _, reply := range replies {
		if !reply.Whole() && !reply.Sent.Before(since) {
			last = max(last, reply.Sent.Add(reply.Took).Sub(since).Seconds())
		}
	}
	return last
}

// retries reads the counters of all routers as operators do.
func (r *run) retries(ctx context.Context) map[string]int64 {
	sum := map[string]int64{}
	for _, m := range r.fleet.Routers {
		var read struct {
			Retries map[string]int64 `json:"retries"`
		}
		if err := json.Unmarshal(r.variables(ctx, m), &read); err != nil {
			continue
		}
		for reason, count := range read.Retries {
			if count > 0 {
				sum[reason] += count
			}
		}
	}
	return sum
}

func (r *run) variables(ctx context.Context, m *fleet.Member) []byte {
	return readVariables(ctx, r.fleet.Network.Dialer(m.Address), m.Operators())
}

// readVariables reads the metrics of the router whose operators' server is at an address; nil if there is no valid answer.
func readVariables(ctx context.Context, dial func(context.Context, netip.AddrPort) (net.Conn, error), address netip.AddrPort) []byte {
	client := fasthttp.Client{Dial: func(string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return http1.HalfDuplexConn{Conn: http1.NewConn(conn, func() {})}, nil
	}}
	defer client.CloseIdleConnections()
	_, body, err := client.Get(nil, fmt.Sprintf("http://%s/debug/vars", address))
	if err != nil {
		return nil
	}
	return body
}
