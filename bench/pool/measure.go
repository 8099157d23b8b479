package pool

import (
	"math"
	"time"

	"ryelug/core/cell"
)

const (
	settled    = 5 * time.Second
	sampleStep = 250 * time.Millisecond
)

// Measures is what was seen of a pool from five seconds on.
type Measures struct {
	Gap         float64       // Gap is the largest difference in service divided by share of two backlogged teams over any interval.
	LateGap     float64       // LateGap is the same over the second half alone.
	Utilisation float64       // Utilisation is the part of the open slots in use.
	Spread      float64       // Spread is the largest difference in virtual time of two cells with work that waits.
	LongestWait time.Duration // LongestWait is the longest time between two grants of a backlogged team.
	Grants      int
	Moves       int
	Twice       int     // Twice counts requests that ran a second time.
	Void        int     // Void counts grants that were used although their session had ended.
	Unused      int     // Unused counts grants that were handed back.
	Frames      float64 // Frames are those for the policy that the busiest dispatcher sends and gets in a second.
	Bytes       float64 // Bytes are those of the frames.
}

// recorder takes down what happens.
type recorder struct {
	p       *Pool
	service []float64
	all     *ranges
	late    *ranges
	busy    map[cell.EndpointID]int
	ran     map[cell.AttemptID]bool
	granted []time.Time // granted is the time of each backlogged team's last grant.
	longest time.Duration
	out     string
	running int
	open    int
	counted time.Time // counted is the time until which slots were added up.
	used    float64   // used and offered are in slot-seconds of the open data centres.
	offered float64
	grants  int
	moves   int
	twice   int
	void    int
	unused  int
	spread  float64
	frames  map[cell.ID]int
	bytes   map[cell.ID]int
}

func newRecorder(p *Pool) *recorder {
	r := &recorder{
		p: p, service: make([]float64, p.conf.Teams), all: newRanges(p.conf.Backlogged), late: newRanges(p.conf.Backlogged),
		busy: map[cell.EndpointID]int{}, ran: map[cell.AttemptID]bool{}, open: p.Slots(), counted: began.Add(settled),
		frames: map[cell.ID]int{}, bytes: map[cell.ID]int{}, granted: make([]time.Time, p.conf.Backlogged),
	}
	for team := range r.granted {
		r.granted[team] = began
	}
	return r
}

func (r *recorder) measures() Measures {
	r.elapse()
	for _, granted := range r.granted {
		r.longest = max(r.longest, r.p.now.Sub(granted))
	}
	m := Measures{
		Gap: r.all.largest(), LateGap: r.late.largest(), Utilisation: r.used / r.offered, Spread: r.spread,
		LongestWait: r.longest, Grants: r.grants, Moves: r.moves, Twice: r.twice, Void: r.void, Unused: r.unused,
	}
	for _, id := range r.p.cells {
		m.Frames = max(m.Frames, float64(r.frames[id])/r.p.conf.Span.Seconds())
		m.Bytes = max(m.Bytes, float64(r.bytes[id])/r.p.conf.Span.Seconds())
	}
	return m
}

func (r *recorder) sent(from, to *node, size int) {
	for _, n := range []*node{from, to} {
		r.bytes[n.id] += size
		r.frames[n.id]++
	}
}

func (r *recorder) moved(n *node) {
	r.moves++
	r.bytes[n.id] += moveBytes
	r.frames[n.id] += 2
}

func (r *recorder) started(endpoint cell.EndpointID, attempt cell.AttemptID, team int) {
	r.elapse()
	if r.ran[attempt] {
		r.twice++
	}
	r.ran[attempt] = true
	r.busy[endpoint]++
	if !r.isOut(endpoint) {
		r.running++
	}
	if team < len(r.granted) {
		r.longest = max(r.longest, r.p.now.Sub(r.granted[team]))
		r.granted[team] = r.p.now
	}
}

func (r *recorder) ended(endpoint cell.EndpointID, team int, cost cell.Cost) {
	r.elapse()
	r.busy[endpoint]--
	if !r.isOut(endpoint) {
		r.running--
	}
	r.service[team] += float64(cost) / float64(r.p.shares[team])
}

func (r *recorder) isOut(endpoint cell.EndpointID) bool {
	return r.out != "" && r.p.centreOf[endpoint] == r.out
}

func (r *recorder) setOut(centre string) {
	r.elapse()
	r.out, r.running, r.open = centre, 0, 0
	for endpoint := range r.p.centreOf {
		if !r.isOut(endpoint) {
			r.running += r.busy[endpoint]
			r.open += r.p.conf.Limit
		}
	}
}

// elapse adds up the slots in use until now.
func (r *recorder) elapse() {
	if span := r.p.now.Sub(r.counted).Seconds(); span > 0 {
		r.used += span * float64(r.running)
		r.offered += span * float64(r.open)
		r.counted = r.p.now
	}
}

// sample takes down the differences between teams, and between cells.
func (r *recorder) sample() {
	r.p.after(sampleStep, r.sample)
	passed := r.p.now.Sub(began)
	if passed < settled || r.p.stopped {
		return
	}
	r.all.take(r.service)
	if passed >= r.p.conf.Span/2 {
		r.late.take(r.service)
	}
	low, high := math.Inf(1), math.Inf(-1)
	for _, id := range r.p.cells {
		if at := r.p.nodes[id].d.Status(); at.Waiting > 0 {
			low, high = min(low, at.Virtual), max(high, at.Virtual)
		}
	}
	r.spread = max(r.spread, high-low)
}

// ranges holds the range of the difference in service of each pair of teams.
type ranges struct {
	least, most [][]float64
}

func newRanges(teams int) *ranges {
	r := &ranges{least: make([][]float64, teams), most: make([][]float64, teams)}
	for i := range teams {
		r.least[i], r.most[i] = make([]float64, i), make([]float64, i)
		for j := range i {
			r.least[i][j], r.most[i][j] = math.Inf(1), math.Inf(-1)
		}
	}
	return r
}

func (r *ranges) take(service []float64) {
	for i := range r.least {
		for j := range r.least[i] {
			ahead := service[i] - service[j]
			r.least[i][j] = min(r.least[i][j], ahead)
			r.most[i][j] = max(r.most[i][j], ahead)
		}
	}
}

func (r *ranges) largest() float64 {
	gap := 0.0
	for i := range r.least {
		for j := range r.least[i] {
			gap = max(gap, r.most[i][j]-r.least[i][j])
		}
	}
	return gap
}
