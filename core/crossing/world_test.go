package crossing_test

import (
	"math/rand/v2"
	"time"

	"ryelug/core/cell"
	"ryelug/core/crossing"
)

const (
	slots     = 20 // slots is the number of calls that each data centre of a world runs at once.
	callTime  = 30 * time.Millisecond
	capacity  = float64(slots) * float64(time.Second) / float64(callTime) // capacity is that of a data centre, in calls per second.
	objective = 150 * time.Millisecond
	usual     = 10 * time.Millisecond // usual is the delay of a path.
	callBytes = 4_000
	step      = time.Millisecond
)

// call is a call of a caller of one data centre.
type call struct {
	came, sent, ends time.Time
	from, to         int
	isLost           bool
	ticket           crossing.Ticket
}

// rule chooses the data centre for a waiting call, and reports whether there is one now.
type rule func(w *world, c *call) (to int, ok bool)

// count counts the calls of one data centre's callers.
type count struct{ asked, inTime, left int }

// world simulates a dispatcher that sends the calls of three data centres to their endpoints, in virtual time.
type world struct {
	now, start time.Time
	rule       rule
	control    *crossing.Control
	random     *rand.Rand
	demand     func(second float64, site int) float64 // demand returns the calls per second of a site's callers, as a part of its capacity.
	slots      [3]int
	running    [3]int
	waiting    [3][]call
	calls      []call
	delay      func(from, to int) time.Duration // delay is that of the path; a negative one means that the path is cut.
	loss       float64                          // loss is the part of the calls to other data centres that fail.
	total      [3]count
	seconds    [3][]count // seconds holds the counts of each second.
}

func newWorld(chosen rule, demand func(second float64, site int) float64) *world {
	w := &world{
		now: time.Unix(1e9, 0), rule: chosen, demand: demand, slots: [3]int{slots, slots, slots}, random: rand.New(rand.NewPCG(1, 2)),
		control: crossing.New(crossing.Config{Mode: crossing.Always, ByteCost: 20 * time.Millisecond}),
		delay:   func(int, int) time.Duration { return usual },
	}
	w.start = w.now
	for _, name := range []string{"a", "b", "c"} {
		w.control.Site(name)
	}
	return w
}

func (w *world) run(span time.Duration) *world {
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(step) {
		w.endCalls()
		second := w.now.Sub(w.start)
		for from := range w.waiting {
			for len(w.seconds[from]) <= int(second.Seconds()) {
				w.seconds[from] = append(w.seconds[from], count{})
			}
			if w.random.Float64() < w.demand(second.Seconds(), from)*capacity*step.Seconds() {
				w.waiting[from] = append(w.waiting[from], call{came: w.now, from: from})
				w.add(from, count{asked: 1})
				w.control.Arrived(w.now, crossing.Site(from))
			}
		}
		for i := range w.waiting {
			w.place((i + int(second/step)) % len(w.waiting)) // None is always the first to get what is free.
		}
	}
	return w
}

func (w *world) add(from int, more count) {
	for _, c := range []*count{&w.total[from], &w.seconds[from][len(w.seconds[from])-1]} {
		c.asked, c.inTime, c.left = c.asked+more.asked, c.inTime+more.inTime, c.left+more.left
	}
}

// place sends the waiting calls of a site's callers in the order in which they came, and refuses those that are too late.
func (w *world) place(from int) {
	for len(w.waiting[from]) > 0 {
		c := &w.waiting[from][0]
		if w.now.Sub(c.came)+callTime*3/2 <= objective { // The product keeps the same margin.
			to, ok := w.rule(w, c)
			if !ok {
				return
			}
			w.send(*c, to)
		}
		w.waiting[from] = w.waiting[from][1:]
	}
}

func (w *world) send(c call, to int) {
	c.sent, c.to = w.now, to
	c.ends = w.now.Add(callTime/2 + time.Duration(w.random.Int64N(int64(callTime))))
	if to != c.from {
		w.add(c.from, count{left: 1})
		delay := w.delay(c.from, to)
		c.ends = c.ends.Add(max(0, delay))
		if c.isLost = delay < 0 || w.random.Float64() < w.loss; delay < 0 {
			c.ends = w.now.Add(2 * time.Second) // The caller gives up.
		}
	}
	w.running[to]++
	w.calls = append(w.calls, c)
}

func (w *world) endCalls() {
	kept := w.calls[:0]
	for _, c := range w.calls {
		switch {
		case c.ends.After(w.now):
			kept = append(kept, c)
			continue
		case c.isLost:
			w.control.Failed(w.now, &c.ticket, cell.Failed)
		default:
			w.control.Answered(w.now, &c.ticket, w.now.Sub(c.sent))
			if w.now.Sub(c.came) <= objective {
				w.add(c.from, count{inTime: 1})
			}
		}
		w.running[c.to]--
	}
	w.calls = kept
}

// byControl is the rule that the package implements.
func byControl(w *world, c *call) (int, bool) {
	w.control.ClearLoads()
	for site := range w.slots {
		w.control.AddLoad(crossing.Site(site), crossing.Load{Slots: w.slots[site], Running: w.running[site]})
	}
	waited := w.now.Sub(c.came)
	trip := crossing.Trip{Waited: waited, Left: objective - waited}
	from := crossing.Site(c.from)
	decision := w.control.Decide(w.now, from, &trip)
	var costs crossing.Costs
	w.control.SetCosts(w.now, from, &trip, &costs)
	best, least := -1, time.Duration(0)
	for site := range w.slots {
		isOwn := site == c.from
		if w.running[site] >= w.slots[site] || decision.Scope == crossing.Own && !isOwn || decision.Scope == crossing.Others && (isOwn || !costs.MayEnter(crossing.Site(site))) {
			continue
		}
		cost := costs.Of(crossing.Site(site)) + w.loadCost(site)
		if best < 0 || cost < least {
			best, least = site, cost
		}
	}
	if best < 0 && decision.Scope == crossing.Others && w.running[c.from] < w.slots[c.from] {
		best = c.from
	}
	if best >= 0 {
		c.ticket = w.control.Sent(w.now, from, crossing.Site(best), &trip, &decision)
	}
	return best, best >= 0
}

func (w *world) loadCost(site int) time.Duration {
	return 100 * time.Millisecond * time.Duration(w.running[site]) / time.Duration(max(1, w.slots[site]))
}

// byConstant is the rule of cells in which the package decides nothing.
func byConstant(w *world, c *call) (int, bool) {
	return w.cheapest(func(site int) (time.Duration, bool) {
		return w.loadCost(site) + map[bool]time.Duration{false: usual}[site == c.from], true
	})
}

// byPrice sends a call elsewhere if the time gained, which it predicts by the wait so far, is worth more than the bytes.
func byPrice(w *world, c *call) (int, bool) {
	return w.cheapest(func(site int) (time.Duration, bool) {
		if site == c.from {
			return 0, true
		}
		cost := usual + callBytes*20*time.Millisecond/1_000_000
		return cost, w.now.Sub(c.came) > cost
	})
}

// bySight sends a call to its own data centre if that has a free slot, to the least loaded other one otherwise.
func bySight(w *world, c *call) (int, bool) {
	return w.cheapest(func(site int) (time.Duration, bool) {
		if site == c.from {
			return 0, true
		}
		return usual + w.loadCost(site), true
	})
}

func (w *world) cheapest(cost func(site int) (time.Duration, bool)) (best int, ok bool) {
	least := time.Duration(0)
	for site := range w.slots {
		if w.running[site] >= w.slots[site] {
			continue
		}
		if found, may := cost(site); may && (!ok || found < least) {
			best, least, ok = site, found, true
		}
	}
	return best, ok
}

// inTime returns the part of the calls of a site's callers that are answered within the objective.
func (w *world) inTime(site int) float64 {
	return float64(w.total[site].inTime) / float64(max(1, w.total[site].asked))
}

// swing returns the largest difference between the parts of a site's demand that leave in two adjacent seconds.
func (w *world) swing(site int) float64 {
	largest, last := 0.0, 0.0
	for i, second := range w.seconds[site] {
		part := float64(second.left) / float64(max(1, second.asked))
		if i > 0 {
			largest = max(largest, part-last, last-part)
		}
		last = part
	}
	return largest
}
