package slice

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"ryelug/core/cell"
)

// DefaultFresh is the age up to which an entry believes what a cell told.
const DefaultFresh = 2 * time.Second

// ChooserConfig describes a Chooser.
type ChooserConfig struct {
	Fresh  time.Duration // Fresh is the age up to which a cell's word counts.
	Random *rand.Rand
}

// Chooser picks the cell that a request asks first.
type Chooser struct {
	conf   ChooserConfig
	cells  []cell.ID
	levels map[cell.ID]heardLevel
	shut   map[cell.ID]bool // shut holds cells whose dispatcher can't be asked.
}

type heardLevel struct {
	cell.Level
	at time.Time
}

// NewChooser returns a Chooser without cells.
func NewChooser(conf ChooserConfig) *Chooser {
	conf.Fresh = cmp.Or(conf.Fresh, DefaultFresh)
	return &Chooser{conf: conf, levels: make(map[cell.ID]heardLevel), shut: make(map[cell.ID]bool)}
}

// SetCells replaces the cells of the pool that have an open endpoint.
func (c *Chooser) SetCells(cells []cell.ID) { c.cells = cells }

// Told takes in a cell's word.
func (c *Chooser) Told(now time.Time, id cell.ID, level cell.Level) {
	c.levels[id] = heardLevel{Level: level, at: now}
}

// SetReachable notes whether a cell's dispatcher can be asked.
func (c *Chooser) SetReachable(id cell.ID, reachable bool) { c.shut[id] = !reachable }

// Pick returns the better one of a team's homes: one with room, then the one
// further ahead in virtual time, where a team that has had less is served first. If
// their dispatchers can't be asked, it picks any other cell. It returns false
// without a cell that can be asked.
func (c *Chooser) Pick(now time.Time, team cell.TeamID) (cell.ID, bool) {
	homes := HomesOf(team, c.cells)
	first, second := homes.First, homes.Second
	if c.conf.Random.IntN(2) == 0 {
		first, second = second, first
	}
	switch {
	case c.shut[first] && c.shut[second]:
		return c.any()
	case c.shut[first] || !c.shut[second] && c.isBetter(now, second, first):
		return second, second != ""
	default:
		return first, first != ""
	}
}

// Follow returns the cell that a request was passed on to, or another one if that can't be asked.
func (c *Chooser) Follow(now time.Time, team cell.TeamID, named cell.ID) (cell.ID, bool) {
	if !c.shut[named] && slices.Contains(c.cells, named) {
		return named, true
	}
	return c.Pick(now, team)
}

// any picks one of the cells that can be asked at random.
func (c *Chooser) any() (cell.ID, bool) {
	open := slices.DeleteFunc(slices.Clone(c.cells), func(id cell.ID) bool { return c.shut[id] })
	if len(open) == 0 {
		return "", false
	}
	return open[c.conf.Random.IntN(len(open))], true
}

func (c *Chooser) isBetter(now time.Time, a, b cell.ID) bool {
	x, knowsA := c.fresh(now, a)
	y, knowsB := c.fresh(now, b)
	if !knowsA || !knowsB {
		return false
	}
	if x.HasRoom != y.HasRoom {
		return x.HasRoom
	}
	return x.Lead > y.Lead
}

func (c *Chooser) fresh(now time.Time, id cell.ID) (cell.Level, bool) {
	level, ok := c.levels[id]
	return level.Level, ok && now.Sub(level.at) <= c.conf.Fresh
}
