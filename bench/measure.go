package bench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ryelug/core/result"
	"ryelug/standin/endpoint"
	"ryelug/standin/engine"
	"ryelug/standin/fleet"
)

const (
	sampleStep   = 100 * time.Millisecond
	fullUse      = 0.95 // fullUse is the part of the slots in use that counts as full.
	histogramTop = int64(time.Hour / time.Microsecond)
	gapScale     = 1000 // gapScale keeps three decimals of a gap in a histogram.
	digits       = 3
)

// Measures are the users' measures of one run.
type Measures struct {
	Deployment string `json:"deployment"`
	Mode       string `json:"mode"`

	GapMost  float64 `json:"gap_most"`  // GapMost is the largest gap over any interval, in cost units divided by share.
	GapP99   float64 `json:"gap_p99"`   // GapP99 is the 99th percentile over time of the gap between the teams served most and least.
	GapBound float64 `json:"gap_bound"` // GapBound is the derived bound of GapMost, with no hand-over.

	Utilisation      float64 `json:"utilisation"`       // Utilisation is the part of the warm slots in use before the data centre leaves.
	UtilisationBound float64 `json:"utilisation_bound"` // UtilisationBound is the derived lower bound.

	Control       Rates   `json:"control"`       // Control is by node and second.
	BusiestBound  float64 `json:"busiest_bound"` // BusiestBound is the derived bound of the busiest node's bytes a second.
	ProcessorTime float64 `json:"processor_ms"`  // ProcessorTime is in milliseconds a node and second, stand-ins included.

	LeaveRefusals   map[string]int `json:"leave_refusals"`    // LeaveRefusals counts refused and failed requests from the leave on, by result code.
	LeaveCut        int            `json:"leave_cut"`         // LeaveCut counts answers that were not whole.
	LongestStall    float64        `json:"longest_stall_s"`   // LongestStall is the longest time from the leave on in which a team got no first token.
	LastWorkAfter   float64        `json:"last_work_after_s"` // LastWorkAfter is the time from the leave to the last new work there.
	UtilisationLeft float64        `json:"utilisation_left"`  // UtilisationLeft is the part of the other engines' slots in use meanwhile.
	FullUseAfter    float64        `json:"full_use_after_s"`  // FullUseAfter is the time from the return until the engines there are in full use; -1 if never.
	FullUseBound    float64        `json:"full_use_bound_s"`
	ColdExcess      int            `json:"cold_excess"`       // ColdExcess counts admissions above a limit in force.
	FirstTokenAdded Percentiles    `json:"first_token_added"` // FirstTokenAdded is over the engine's own time, queueing included.
	Served          int            `json:"served"`
}

// Percentiles are times in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Measure works the measures out.
func (r *Result) Measure() Measures {
	series := r.service()
	m := Measures{
		Deployment:       r.Deployment.Name,
		Mode:             r.Mode.Name,
		GapBound:         gapBound(),
		UtilisationBound: utilisationBound(r.Deployment),
		FullUseBound:     fullUseBound().Seconds(),
		Utilisation:      r.utilisation(r.Fleet.Engines, r.Script.Settled, r.Script.Out),
		Control:          r.Control.Rates(),
		BusiestBound:     busiestBound(r.requestRate()),
		ProcessorTime:    r.Control.ProcessorRate(),
		LeaveRefusals:    map[string]int{},
		FirstTokenAdded:  r.firstTokenAdded(),
		UtilisationLeft:  r.utilisation(r.others(), r.Script.Out+time.Second, r.Script.Return),
		FullUseAfter:     r.fullUseAfter(),
		LastWorkAfter:    r.lastWorkAfter(),
	}
	m.GapMost, m.GapP99 = gaps(series)
	for _, e := range r.Fleet.Engines {
		m.ColdExcess += len(e.History().Excesses(0))
	}
	r.countLeave(&m)
	m.LongestStall = r.longestStall().Seconds()
	return m
}

// longestStall returns the longest time from the leave on in which a team got no first token.
func (r *Result) longestStall() time.Duration {
	firsts := map[string][]time.Time{}
	for _, reply := range r.Replies {
		if len(reply.Events) > 0 {
			firsts[reply.Team] = append(firsts[reply.Team], reply.Sent.Add(reply.First))
		}
	}
	var longest time.Duration
	for _, team := range Teams() {
		last := r.at(r.Script.Out)
		at := append(firsts[team.Name], r.at(r.Script.End))
		slices.SortFunc(at, time.Time.Compare)
		for _, first := range at {
			if first.After(last) {
				longest = max(longest, first.Sub(last))
				last = first
			}
		}
	}
	return longest
}

// requestRate returns the requests a second that were answered while control traffic was measured.
func (r *Result) requestRate() float64 {
	count := 0
	for _, reply := range r.Replies {
		done := reply.Sent.Add(reply.Took)
		if reply.Whole() && done.After(r.at(r.Script.Settled)) && done.Before(r.at(r.Script.Out)) {
			count++
		}
	}
	return float64(count) / (r.Script.Out - r.Script.Settled).Seconds()
}

func (r *Result) countLeave(m *Measures) {
	for _, reply := range r.Replies {
		if reply.Whole() {
			m.Served++
		}
		if reply.Sent.Add(reply.Took).Before(r.at(r.Script.Out)) {
			continue
		}
		if reply.Code == result.OK && !reply.Whole() {
			m.LeaveCut++
		}
		if reply.Code != result.OK {
			info, _ := result.Lookup(reply.Code)
			m.LeaveRefusals[info.Name]++
		}
	}
}

func (r *Result) at(offset time.Duration) time.Time {
	return r.Began.Add(offset)
}

func (r *Result) others() []*engine.Engine {
	leaving := r.enginesOf(r.centre())
	var others []*engine.Engine
	for _, e := range r.Fleet.Engines {
		if !slices.Contains(leaving, e) {
			others = append(others, e)
		}
	}
	return others
}

// utilisation returns the part of the engines' warm slots in use between two offsets.
func (r *Result) utilisation(of []*engine.Engine, from, to time.Duration) float64 {
	var busy time.Duration
	for _, e := range of {
		busy += e.History().BusyTime(r.at(from), r.at(to))
	}
	return busy.Seconds() / ((to - from).Seconds() * float64(len(of)*warmLimit))
}

func (r *Result) fullUseAfter() float64 {
	leaving := r.enginesOf(r.centre())
	for from := r.Script.Return; from+time.Second <= r.Script.End; from += sampleStep {
		if r.utilisation(leaving, from, from+time.Second) >= fullUse {
			return (from - r.Script.Return).Seconds()
		}
	}
	return -1
}

func (r *Result) lastWorkAfter() float64 {
	last := r.at(r.Script.Out)
	for _, e := range r.enginesOf(r.centre()) {
		for _, event := range e.History().Events {
			if event.Kind == endpoint.Started && event.At.Before(r.at(r.Script.Return)) && event.At.After(last) {
				last = event.At
			}
		}
	}
	return last.Sub(r.at(r.Script.Out)).Seconds()
}

func (r *Result) firstTokenAdded() Percentiles {
	added := hdrhistogram.New(1, histogramTop, digits)
	for _, reply := range r.Replies {
		if len(reply.Events) > 0 {
			_ = added.RecordValue(max(1, (reply.First - FirstTokenTime).Microseconds()))
		}
	}
	return percentilesOf(added)
}

func percentilesOf(micros *hdrhistogram.Histogram) Percentiles {
	at := func(quantile float64) float64 { return float64(micros.ValueAtQuantile(quantile)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(micros.Max()) / 1000}
}

// service returns the service of each team divided by its share, at each step from Settled to End.
func (r *Result) service() [][]float64 {
	teams := Teams()
	place := map[string]int{}
	for i, team := range teams {
		place[team.Name] = i
	}
	steps := int((r.Script.End - r.Script.Settled) / sampleStep)
	series := make([][]float64, len(teams))
	for i := range series {
		series[i] = make([]float64, steps)
	}
	for _, reply := range r.Replies {
		if len(reply.Events) == 0 {
			continue
		}
		i := place[reply.Team]
		r.spread(reply, 1/float64(teams[i].Share), series[i])
	}
	return series
}

// spread adds the tokens of a reply to a team's series, evenly between its first and last one.
func (r *Result) spread(reply *fleet.Reply, weight float64, series []float64) {
	count := float64(len(reply.Events)) * weight
	begin := reply.Sent.Add(reply.First)
	span := reply.Took - reply.First
	for step := range series {
		at := r.at(r.Script.Settled + time.Duration(step)*sampleStep)
		passed := 1.0
		if span > 0 {
			passed = min(1, float64(at.Sub(begin))/float64(span))
		}
		if at.After(begin) {
			series[step] += count * passed
		}
	}
}

// gaps returns the largest gap between two teams over any interval, and the 99th
// percentile over time of the gap between the teams served most and least so far.
func gaps(series [][]float64) (most, p99 float64) {
	for i := range series {
		for j := range series[:i] {
			least, highest := 0.0, 0.0
			start := series[i][0] - series[j][0]
			for step := range series[i] {
				difference := series[i][step] - series[j][step] - start
				least, highest = min(least, difference), max(highest, difference)
			}
			most = max(most, highest-least)
		}
	}
	over := hdrhistogram.New(1, histogramTop, digits)
	for step := range series[0] {
		var low, high float64
		for i := range series {
			service := series[i][step] - series[i][0]
			if i == 0 || service < low {
				low = service
			}
			high = max(high, service)
		}
		_ = over.RecordValue(max(1, int64((high-low)*gapScale)))
	}
	return most, float64(over.ValueAtQuantile(99)) / gapScale
}
