package slice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ryelug/core/cell"
	"ryelug/core/slice"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newExchange returns the Exchange of the first of three cells.
func newExchange() *slice.Exchange {
	return slice.NewExchange(slice.ExchangeConfig{Self: "pool/1", Cells: []cell.ID{"pool/1", "pool/2", "pool/3"}})
}

// TestTellsAddUp checks that reports which are duplicated, reordered or lost add up to what was served.
func TestTellsAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newExchange()
		var total, received cell.Cost
		for range rapid.IntRange(1, 20).Draw(rt, "tells") {
			before := total
			total += cell.Cost(rapid.IntRange(0, 9).Draw(rt, "cost"))
			for range rapid.IntRange(0, 2).Draw(rt, "copies") {
				received += receive(x, 1, total)
				received += receive(x, 1, before)
			}
		}
		received += receive(x, 1, total)
		if received != total {
			rt.Fatalf("the reports add up to %d, not %d", received, total)
		}
	})
}

// receive passes a report of pool/2 to the Exchange and returns the service that it adds.
func receive(x *slice.Exchange, incarnation uint64, total cell.Cost) cell.Cost {
	var sum cell.Cost
	for _, service := range x.HandleReport(began, &slice.ServiceReport{From: "pool/2", Incarnation: incarnation, Services: []cell.Service{{Team: "t", Cost: total}}}, cell.Status{}) {
		sum += service.Cost
	}
	return sum
}

// TestNewLifeCountsFromZero checks that a new dispatcher's totals start at zero, and that reports of its predecessor are ignored.
func TestNewLifeCountsFromZero(t *testing.T) {
	is := is.New(t)
	x := newExchange()
	is.Equal(receive(x, 1, 100), cell.Cost(100))
	is.Equal(receive(x, 2, 30), cell.Cost(30))
	is.Equal(receive(x, 1, 200), cell.Cost(0))
	is.Equal(receive(x, 2, 40), cell.Cost(10))
}

// TestPassIsBounded checks that all cells together pass on no more requests than the sibling can grant or has room for.
func TestPassIsBounded(t *testing.T) {
	cells := []cell.ID{"pool/1", "pool/2", "pool/3", "pool/4"}
	rapid.Check(t, func(rt *rapid.T) {
		standings := map[cell.ID]cell.Status{}
		for _, id := range cells {
			standings[id] = cell.Status{
				Virtual: float64(rapid.IntRange(0, 100).Draw(rt, "virtual")), Waiting: rapid.IntRange(0, 50).Draw(rt, "waiting"),
				Free: rapid.IntRange(0, 8).Draw(rt, "free"), Slots: 8, Granted: rapid.IntRange(0, 20).Draw(rt, "granted"),
			}
		}
		to, total := cells[0], 0
		for _, self := range cells[1:] {
			x := slice.NewExchange(slice.ExchangeConfig{Self: self, Cells: cells})
			for _, id := range cells {
				x.HandleReport(began, &slice.ServiceReport{From: id, Incarnation: 1, Status: cell.Status{Waiting: 1}}, cell.Status{})
				x.HandleReport(began, &slice.ServiceReport{From: id, Incarnation: 1, Status: standings[id]}, cell.Status{})
			}
			if transfer, ok := x.Pass(began, to, standings[self]); ok {
				total += transfer.Count
			}
		}
		// Granted bounds the requests passed on because the receiver is ahead in virtual time, and Granted+Free those passed on because it runs out of requests.
		if most := 2*standings[to].Granted + standings[to].Free; total > most {
			rt.Fatalf("%d requests are passed on to a cell with %+v", total, standings[to])
		}
	})
}

func TestPick(t *testing.T) {
	cells := []cell.ID{"pool/1", "pool/2", "pool/3"}
	homes := slice.HomesOf("team", cells)
	pick := func(prepare func(c *slice.Chooser)) map[cell.ID]bool {
		c := slice.NewChooser(slice.ChooserConfig{Random: rand.New(rand.NewPCG(1, 1))})
		c.SetCells(cells)
		prepare(c)
		picked := map[cell.ID]bool{}
		for range 50 {
			id, _ := c.Pick(began, "team")
			picked[id] = true
		}
		return picked
	}
	first := map[cell.ID]bool{homes.First: true}
	both := map[cell.ID]bool{homes.First: true, homes.Second: true}
	for _, test := range []struct {
		name    string
		prepare func(c *slice.Chooser)
		want    map[cell.ID]bool
	}{
		{"no level reported", func(*slice.Chooser) {}, both},
		{"further ahead", func(c *slice.Chooser) {
			c.RecordLevel(began, homes.First, cell.Level{Lead: 2})
			c.RecordLevel(began, homes.Second, cell.Level{Lead: 1})
		}, first},
		{"room", func(c *slice.Chooser) {
			c.RecordLevel(began, homes.First, cell.Level{HasRoom: true})
			c.RecordLevel(began, homes.Second, cell.Level{Lead: 1})
		}, first},
		{"old level", func(c *slice.Chooser) {
			c.RecordLevel(began.Add(-time.Minute), homes.First, cell.Level{Lead: 2})
			c.RecordLevel(began, homes.Second, cell.Level{Lead: 1})
		}, both},
		{"one can't be asked", func(c *slice.Chooser) { c.SetReachable(homes.Second, false) }, first},
	} {
		t.Run(test.name, func(t *testing.T) { is.New(t).Equal(pick(test.prepare), test.want) })
	}
	t.Run("passed on", func(t *testing.T) {
		is := is.New(t)
		c := slice.NewChooser(slice.ChooserConfig{Random: rand.New(rand.NewPCG(1, 1))})
		c.SetCells(cells)
		named, _ := c.Follow(began, "team", homes.First)
		is.Equal(named, homes.First)
		c.SetReachable(homes.First, false)
		named, _ = c.Follow(began, "team", homes.First)
		is.Equal(named, homes.Second) // The dispatcher of the first home can't be reached.
	})
	t.Run("no home can be asked", func(t *testing.T) {
		picked := pick(func(c *slice.Chooser) {
			c.SetReachable(homes.First, false)
			c.SetReachable(homes.Second, false)
		})
		is.New(t).True(len(picked) == 1 && !picked[homes.First] && !picked[homes.Second])
	})
}

// TestScales checks that a cell's lead is how much more its virtual time has advanced than the sibling's since either of them last had no backlog.
func TestScales(t *testing.T) {
	x := newExchange()
	for _, report := range []struct {
		name          string
		sibling, own  cell.Status
		lead, follows float64
	}{
		{"the first report", cell.Status{Virtual: 1000, Waiting: 5}, cell.Status{Virtual: 10}, 0, 10},
		{"the sibling advances more", cell.Status{Virtual: 1100, Waiting: 5}, cell.Status{Virtual: 50}, -60, 110},
		{"the sibling has no backlog", cell.Status{Virtual: 9000}, cell.Status{Virtual: 120}, 0, 120},
		{"later reports count from then", cell.Status{Virtual: 9030, Waiting: 5}, cell.Status{Virtual: 140}, -10, 150},
		{"the sibling had no backlog between", cell.Status{Virtual: 9900, Waiting: 5, Periods: 1}, cell.Status{Virtual: 160}, 0, 160},
		{"this cell had no backlog between", cell.Status{Virtual: 9910, Waiting: 5, Periods: 1}, cell.Status{Virtual: 900, Periods: 1}, 0, 900},
		{"later reports count from then again", cell.Status{Virtual: 9930, Waiting: 5, Periods: 1}, cell.Status{Virtual: 910, Periods: 1}, -10, 920},
	} {
		t.Run(report.name, func(t *testing.T) {
			is := is.New(t)
			x.HandleReport(began, &slice.ServiceReport{From: "pool/2", Incarnation: 1, Status: report.sibling}, report.own)
			is.Equal(x.Lead(began, report.own.Virtual), report.lead)
			is.Equal(x.Follow(began, report.own.Virtual), report.follows)
		})
	}
	x.Rescale(200)
	is.New(t).Equal(x.Lead(began, 200), 0.0)
}
