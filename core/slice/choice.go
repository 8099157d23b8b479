package slice

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"ryelug/core/cell"
)

// DefaultFresh is the default of ChooserConfig.Fresh.
const DefaultFresh = 2 * time.Second

// ChooserConfig configures a Chooser.
type ChooserConfig struct {
	Fresh  time.Duration // Fresh is the age up to which the cell.Level that a cell has reported is used; zero means DefaultFresh.
	Random *rand.Rand    // Random is the source of random choices; it is required.
}

// Chooser picks the cell that a request asks first. It is not safe for concurrent use.
type Chooser struct {
	conf        ChooserConfig
	cells       []cell.ID                 // cells lists the cells of the pool that have an open endpoint.
	levels      map[cell.ID]reportedLevel // levels holds the last cell.Level that each cell has reported.
	unreachable map[cell.ID]bool          // unreachable is true for cells whose dispatcher can't be asked.
}

// reportedLevel is the cell.Level that a cell has reported (how far its virtual time is ahead of the other cells, and
// whether it has free capacity), and the time at which it was reported.
type reportedLevel struct {
	cell.Level
	at time.Time
}

// NewChooser returns a Chooser that has no cells yet.
func NewChooser(conf ChooserConfig) *Chooser {
	conf.Fresh = cmp.Or(conf.Fresh, DefaultFresh)
	return &Chooser{conf: conf, levels: make(map[cell.ID]reportedLevel), unreachable: make(map[cell.ID]bool)}
}

// SetCells replaces the cells of the pool that have an open endpoint. The Chooser keeps the slice.
func (c *Chooser) SetCells(cells []cell.ID) { c.cells = cells }

// RecordLevel records the cell.Level that a cell has reported.
func (c *Chooser) RecordLevel(now time.Time, id cell.ID, level cell.Level) {
	c.levels[id] = reportedLevel{Level: level, at: now}
}

// SetReachable records whether a cell's dispatcher can be asked. It is assumed that it can until the first call for the cell.
func (c *Chooser) SetReachable(id cell.ID, reachable bool) { c.unreachable[id] = !reachable }

// Pick returns one of a team's two home cells that can be asked. It prefers a cell that has free capacity,
// and otherwise the cell whose virtual time is further ahead, as a team that has had less service
// is served first there. If the two are equal, or the level of either is not known or too old, it
// picks one at random. If neither home can be asked, Pick returns a random cell that can. It returns
// false if there is no such cell.
func (c *Chooser) Pick(now time.Time, team cell.TeamID) (cell.ID, bool) {
	homes := HomesOf(team, c.cells)
	first, second := homes.First, homes.Second
	if c.conf.Random.IntN(2) == 0 {
		first, second = second, first
	}
	switch {
	case c.unreachable[first] && c.unreachable[second]:
		return c.any()
	case c.unreachable[first] || !c.unreachable[second] && c.isBetter(now, second, first):
		return second, second != ""
	default:
		return first, first != ""
	}
}

// Follow returns the cell for a request that another cell has passed on to the named one: the named cell, or
// Pick's choice if the dispatcher of the named cell can't be reached or the cell has no open endpoint.
func (c *Chooser) Follow(now time.Time, team cell.TeamID, named cell.ID) (cell.ID, bool) {
	if !c.unreachable[named] && slices.Contains(c.cells, named) {
		return named, true
	}
	return c.Pick(now, team)
}

// any returns a random cell among those that can be asked, and false if there is none.
func (c *Chooser) any() (cell.ID, bool) {
	open := slices.DeleteFunc(slices.Clone(c.cells), func(id cell.ID) bool { return c.unreachable[id] })
	if len(open) == 0 {
		return "", false
	}
	return open[c.conf.Random.IntN(len(open))], true
}

// isBetter reports whether cell a is to be preferred to cell b; it is false unless both levels are fresh.
func (c *Chooser) isBetter(now time.Time, a, b cell.ID) bool {
	x, knowsA := c.freshLevel(now, a)
	y, knowsB := c.freshLevel(now, b)
	if !knowsA || !knowsB {
		return false
	}
	if x.HasRoom != y.HasRoom {
		return x.HasRoom
	}
	return x.Lead > y.Lead
}

// freshLevel returns the last level of a cell, and whether it is recent enough to be used.
func (c *Chooser) freshLevel(now time.Time, id cell.ID) (cell.Level, bool) {
	level, ok := c.levels[id]
	return level.Level, ok && now.Sub(level.at) <= c.conf.Fresh
}
