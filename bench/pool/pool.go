package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/slice"
	"ryelug/standin/timeline"
)

const (
	tickStep = 100 * time.Millisecond
	pollStep = time.Second

	// SilentLink is the silence after which an entry gives its session up.
	SilentLink = time.Second

	largeShare   = 20
	smallWaiting = 3
	largeWaiting = 60
	idlePart     = 20 // idlePart divides what the pool serves for the demand of the teams without a backlog.
	centres      = 3
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Mode says which parts of the policy work.
type Mode struct {
	Choose   bool // Choose picks the cell of a request; otherwise a team's requests all go to one.
	Exchange bool // Exchange tells the siblings of the service.
	Pass     bool // Pass moves waiting requests.
}

// Config describes a model.
type Config struct {
	Mode
	Slices      int
	Engines     int
	Limit       int           // Limit is the warm limit of an engine.
	LargestCost cell.Cost     // LargestCost is the largest cost of a request; costs are uniform from 1 to it.
	CostTime    time.Duration // CostTime is the time that a cost unit takes.
	Delay       time.Duration // Delay is the one-way delay between any two hosts.
	Interval    time.Duration // Interval is the time between two tellings.
	Threshold   cell.Cost     // Threshold is the untold service from which a team is told.
	Entries     int
	Teams       int
	Backlogged  int  // Backlogged is the first teams, which always have requests waiting.
	Large       int  // Large is the first of those, with more shares and requests.
	IsCrowded   bool // IsCrowded puts the homes of all backlogged teams into the first quarter of the slices.
	Lone        int  // Lone is the number of backlogged teams of each slice but the first, if Choose is off.
	Seed        uint64
	Span        time.Duration
	Freezes     []Freeze
	Flaps       []Flap
	Out         Window // Out is when the first data centre is out.
}

// Window is a time from the beginning to an end; a zero one is none.
type Window struct{ From, To time.Duration }

// Freeze is a time in which the dispatcher of a slice does nothing.
type Freeze struct {
	Slice int
	Window
}

// Flap is a time in which an entry has no link to the dispatcher of a slice.
type Flap struct {
	Entry, Slice int
	Window
}

// Pool is a model of one pool: dispatchers, entries, engines and the delays between them.
type Pool struct {
	conf     Config
	rand     *rand.Rand
	now      time.Time
	queue    timeline.Queue[func()]
	cut      []slice.Slice
	centreOf map[cell.EndpointID]string
	cells    []cell.ID
	nodes    map[cell.ID]*node
	entries  []*entry
	byRouter map[cell.RouterID]*entry
	names    []cell.TeamID
	numbers  map[cell.TeamID]int
	shares   []int
	next     cell.AttemptID
	teamOf   map[cell.AttemptID]int
	stopped  bool // stopped ends the demand.
	seen     *recorder
}

// New returns a model at its beginning.
func New(conf Config) *Pool {
	p := &Pool{
		conf: conf, rand: rand.New(rand.NewPCG(conf.Seed, 3)), now: began,
		centreOf: map[cell.EndpointID]string{}, nodes: map[cell.ID]*node{},
		byRouter: map[cell.RouterID]*entry{}, numbers: map[cell.TeamID]int{}, teamOf: map[cell.AttemptID]int{},
	}
	p.cutPool()
	p.nameTeams()
	p.seen = newRecorder(p)
	for i := range p.cut {
		p.addNode(&p.cut[i])
	}
	for i := range conf.Entries {
		p.addEntry(i)
	}
	for i, id := range p.cells {
		p.nodes[id].poll()
		p.after(time.Duration(i)*tickStep/time.Duration(len(p.cells)), p.nodes[id].tick)
	}
	return p
}

// cutPool cuts a pool whose engines are spread over the data centres of one region.
func (p *Pool) cutPool() {
	doc := &config.Document{}
	for i := range centres {
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: centreName(i), Region: "region"})
	}
	for i := range p.conf.Engines {
		at := config.Endpoint{Name: fmt.Sprint("engine-", i), Pool: "pool", DataCentre: centreName(i % centres)}
		doc.Endpoints = append(doc.Endpoints, at)
		p.centreOf[cell.EndpointID(at.Name)] = at.DataCentre
	}
	p.cut = slice.Partition(doc, "pool", p.conf.Slices)
	for _, part := range p.cut {
		p.cells = append(p.cells, part.ID)
	}
}

func centreName(index int) string { return fmt.Sprint("dc", index) }

// nameTeams names the teams; names decide on homes.
func (p *Pool) nameTeams() {
	quarter := p.cells[:min(len(p.cells), max(2, len(p.cells)/4))]
	for number := 0; len(p.names) < p.conf.Teams; number++ {
		name := cell.TeamID(fmt.Sprint("team-", number))
		homes := slice.HomesOf(name, p.cells)
		isInQuarter := slices.Contains(quarter, homes.First) && slices.Contains(quarter, homes.Second)
		if !p.conf.IsCrowded || len(p.names) >= p.conf.Backlogged || isInQuarter {
			p.numbers[name] = len(p.names)
			p.names = append(p.names, name)
			p.shares = append(p.shares, 1)
		}
	}
	for i := range p.conf.Large {
		p.shares[i] = largeShare
	}
}

// Run plays the model and returns what was seen.
func (p *Pool) Run() Measures {
	for team := range p.conf.Backlogged {
		waiting := smallWaiting
		if team < p.conf.Large {
			waiting = largeWaiting
		}
		for range waiting {
			p.demand(team)
		}
	}
	p.sendOccasional()
	p.fail()
	p.seen.sample()
	p.play(p.conf.Span)
	return p.seen.measures()
}

// Drain ends the demand, lets the model go on, and returns the number of requests that still wait.
func (p *Pool) Drain(span time.Duration) int {
	p.stopped = true
	p.play(p.conf.Span + span)
	waiting := 0
	for _, e := range p.entries {
		waiting += e.waiting
	}
	return waiting
}

func (p *Pool) play(until time.Duration) {
	end := began.Add(until)
	for next, ok := p.queue.Next(end); ok; next, ok = p.queue.Next(end) {
		p.now = next.At
		next.What()
	}
}

// demand puts a new request of a team at one of the entries that the team uses.
func (p *Pool) demand(team int) {
	if p.stopped {
		return
	}
	p.next++
	p.teamOf[p.next] = team
	at := p.entries[(team*7+p.rand.IntN(2)*p.rand.IntN(5))%len(p.entries)]
	at.waiting++
	at.ask(p.next, at.cellFor(team))
}

// sendOccasional lets one of the teams without a backlog send a request.
func (p *Pool) sendOccasional() {
	others := p.conf.Teams - p.conf.Backlogged
	if others == 0 {
		return
	}
	p.demand(p.conf.Backlogged + p.rand.IntN(others))
	every := p.RequestTime() / time.Duration(p.Slots()) * idlePart
	p.after(time.Duration(p.rand.ExpFloat64()*float64(every)), p.sendOccasional)
}

// RequestTime returns the mean time of a request.
func (p *Pool) RequestTime() time.Duration {
	return time.Duration(p.conf.LargestCost/2) * p.conf.CostTime
}

// Slots returns the requests that the pool can run at once.
func (p *Pool) Slots() int { return p.conf.Engines * p.conf.Limit }

func (p *Pool) after(wait time.Duration, do func()) {
	p.queue.Add(p.now.Add(wait), do)
}
