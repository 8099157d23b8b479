package crossing_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/crossing"
)

// The demand of each load, as a part of the capacity of a data centre.
var loads = []struct {
	name   string
	demand func(second float64, site int) float64
	swing  float64 // swing is the most by which the part that leaves may differ between two seconds.
}{
	{"even", func(float64, int) float64 { return 0.7 }, 0.02},
	{"even, near the capacity", func(float64, int) float64 { return 0.9 }, 0.1},
	{"wave-shaped", func(second float64, site int) float64 { return 0.8 + 0.5*math.Sin(second+2*float64(site)) }, 0.2},
	{"one-sided", onesided, 0.2},
	{"shifting", func(second float64, site int) float64 {
		if int(second/8)%3 == site {
			return 1.4
		}
		return 0.4
	}, 0.2},
	{"two overloaded in turn", func(second float64, site int) float64 {
		if site == int(second/3)%2 {
			return 1.5
		}
		return 0.5
	}, 0.2},
}

func onesided(_ float64, site int) float64 {
	return [3]float64{1.5, 0.4, 0.4}[site]
}

// Under each load the part of the demand that leaves a data centre changes slowly, and is next to nothing if no data centre is
// overloaded: a rule that follows momentary load sends requests to and fro.
func TestPartThatLeavesChangesSlowly(t *testing.T) {
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(byControl, load.demand).run(30 * time.Second)
			for site := range w.total {
				t.Logf("data centre %d: in time %.3f, left %.3f, swing %.3f", site, w.inTime(site), float64(w.total[site].left)/float64(w.total[site].asked), w.swing(site))
				is.True(w.swing(site) <= load.swing)
			}
		})
	}
}

// Callers of an overloaded data centre are served in time nearly as often as the others while those have free capacity.
func TestOneSidedOverload(t *testing.T) {
	is := is.New(t)
	w := newWorld(byControl, onesided).run(30 * time.Second)
	for site := 1; site < 3; site++ {
		is.True(w.inTime(site) > 0.95) // The others don't suffer from it.
		is.True(w.inTime(0) >= 0.9*w.inTime(site))
	}
}

// A data centre whose endpoints are lost has its calls served elsewhere at once, and serves them itself again soon after it returns.
func TestDataCentreLostAndRecovered(t *testing.T) {
	is := is.New(t)
	w := newWorld(byControl, func(float64, int) float64 { return 0.55 }).run(5 * time.Second)
	w.slots[0] = 0
	w.run(5 * time.Second)
	w.slots[0] = slots
	w.run(5 * time.Second)
	for i, second := range w.seconds[0] {
		part := float64(second.left) / float64(second.asked)
		switch {
		case i >= 5 && i < 10:
			is.True(part > 0.95)
		case i < 5 || i > 11:
			is.Equal(part, 0.0)
		}
		is.True(float64(second.inTime) > 0.9*float64(second.asked))
	}
}

// While the paths to the other data centres are cut, slow or lossy, the part that leaves falls within a second, the own data centre
// serves what it can, and the part rises gradually afterwards.
func TestPathDisturbed(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration
		loss  float64
		part  float64 // part is the largest part that may still leave, in attempts that show whether the paths have recovered.
	}{
		{"cut", -1, 0, 0.01},
		{"slow", 400 * time.Millisecond, 0, 0.01},
		{"lossy", usual, 0.7, 0.02},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(byControl, onesided).run(10 * time.Second)
			w.delay, w.loss = func(int, int) time.Duration { return test.delay }, test.loss
			w.run(10 * time.Second)
			w.delay, w.loss = func(int, int) time.Duration { return usual }, 0
			w.run(10 * time.Second)
			last := 0.0
			for i, second := range w.seconds[0] {
				part := float64(second.left) / float64(second.asked)
				t.Logf("second %d: left %.3f, in time %.3f", i, part, float64(second.inTime)/float64(second.asked))
				if i > 10 && i < 20 {
					is.True(part <= test.part)
					is.True(float64(second.inTime) > 0.8*capacity)
				}
				is.True(part-last <= 0.2)
				last = part
			}
			is.True(last > 0.3)
		})
	}
}

// Requests that leave because their own data centre can't take them must not use up the share for a long time after: then the own
// data centre would be late while others have room.
func TestOverflowLeavesNoDebt(t *testing.T) {
	is, now := is.New(t), time.Unix(1e9, 0)
	control := crossing.New(crossing.Config{Mode: crossing.Always})
	own, other := control.Site("a"), control.Site("b")
	control.AddLoad(own, crossing.Load{Slots: slots, Running: slots})
	control.AddLoad(other, crossing.Load{Slots: slots})
	trip := crossing.Trip{Waited: 50 * time.Millisecond, Left: 100 * time.Millisecond}
	run := func(span time.Duration, isOverflow bool) (left, asked int) {
		for end := now.Add(span); now.Before(end); now = now.Add(time.Millisecond) {
			control.Arrived(now, own)
			asked++
			decision := control.Decide(now, own, &trip)
			if decision.Scope != crossing.Others && !isOverflow {
				continue
			}
			left++
			ticket := control.Sent(now, own, other, &trip, &decision)
			control.Answered(now, &ticket, callTime)
		}
		return left, asked
	}
	run(20*time.Second, true)
	left, asked := run(time.Second, false)
	t.Log("left ", left, " of ", asked)
	is.True(left > asked/2)
}

// The alternatives that docs/design/leaving-a-data-centre.md compares, under the same loads.
func TestAlternatives(t *testing.T) {
	rules := []struct {
		name string
		rule rule
	}{{"constant", byConstant}, {"price", byPrice}, {"share", byControl}, {"sight", bySight}}
	for _, load := range loads {
		for _, alternative := range rules {
			w := newWorld(alternative.rule, load.demand).run(30 * time.Second)
			var all count
			least, swing := 1.0, 0.0
			for site, one := range w.total {
				all.asked, all.inTime, all.left = all.asked+one.asked, all.inTime+one.inTime, all.left+one.left
				least, swing = min(least, w.inTime(site)), max(swing, w.swing(site))
			}
			t.Logf("| %s | %s | %.3f | %.3f | %.3f | %.2f |", load.name, alternative.name,
				float64(all.inTime)/float64(all.asked), least, float64(all.left)/float64(all.asked), swing)
			if alternative.name == "share" {
				is.New(t).True(least > 0.85)
			}
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	control := crossing.New(crossing.Config{Mode: crossing.Always, ByteCost: 20 * time.Millisecond})
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		control.AddLoad(control.Site(name), crossing.Load{Slots: slots, Running: slots / 2})
	}
	control.AddLoad(0, crossing.Load{Running: slots})
	control.Learn("class", callBytes)
	now := time.Now()
	trip := crossing.Trip{Class: "class", Waited: 50 * time.Millisecond, Left: 100 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Microsecond)
		control.Arrived(now, 0)
		if decision := control.Decide(now, 0, &trip); decision.Scope == crossing.Others {
			ticket := control.Sent(now, 0, 1, &trip, &decision)
			control.Answered(now, &ticket, callTime)
		}
	}
}
