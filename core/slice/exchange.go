package slice

import (
	"cmp"
	"math"
	"time"

	"ryelug/core/cell"
)

// Defaults of ExchangeConfig.
const (
	DefaultInterval = time.Second
	DefaultIdleGap  = 50 * time.Millisecond
	DefaultSilence  = 3 * time.Second
)

// ExchangeConfig describes an Exchange.
type ExchangeConfig struct {
	Self     cell.ID
	Cells    []cell.ID     // Cells are all cells of the pool.
	Interval time.Duration // Interval is the time between two tellings.
	IdleGap  time.Duration // IdleGap is the least time between two tellings when slots fall idle.
	Silence  time.Duration // Silence is the age from which a sibling's word no longer counts.
	Margin   float64       // Margin is the difference in virtual time below which no request moves.
}

// Tell is what a cell's dispatcher tells its siblings. It holds totals, so that
// a Tell that comes twice or gets lost does no harm.
type Tell struct {
	From     cell.ID
	Life     uint64 // Life numbers the dispatcher's life; its totals begin at zero.
	Standing cell.Standing
	Services []cell.Service // Services are the totals that have changed enough since the last Tell.
}

// Passing says which waiting requests go to a sibling.
type Passing struct {
	To    cell.ID
	Count int
	Below float64 // Below is the counter that a team must be below.
}

// Exchange is what the dispatcher of one cell knows of its siblings.
type Exchange struct {
	conf     ExchangeConfig
	siblings []sibling
	toldAt   time.Time
	toldFree int
}

type sibling struct {
	id       cell.ID
	life     uint64
	heard    time.Time
	standing cell.Standing
	served   map[cell.TeamID]cell.Cost
	periods  int     // periods is this cell's count at the sibling's last word.
	offset   float64 // offset is how far the sibling's scale is above this cell's.
	owed     float64 // owed is the fraction of a request that the last Passing left over.
}

// NewExchange returns an Exchange that has heard nothing yet.
func NewExchange(conf ExchangeConfig) *Exchange {
	conf.Interval = cmp.Or(conf.Interval, DefaultInterval)
	conf.IdleGap = cmp.Or(conf.IdleGap, DefaultIdleGap)
	conf.Silence = cmp.Or(conf.Silence, DefaultSilence)
	x := &Exchange{conf: conf}
	for _, id := range conf.Cells {
		if id != conf.Self {
			x.siblings = append(x.siblings, sibling{id: id})
		}
	}
	return x
}

// IsDue tells whether the siblings are to be told: the interval has passed, or
// more slots have fallen idle while work waits at a sibling.
func (x *Exchange) IsDue(now time.Time, own cell.Standing) bool {
	since := now.Sub(x.toldAt)
	if since >= x.conf.Interval {
		return true
	}
	isIdle := own.Waiting == 0 && own.Free > x.toldFree
	return isIdle && since >= x.conf.IdleGap && x.isWorkWaiting(now)
}

func (x *Exchange) isWorkWaiting(now time.Time) bool {
	for i := range x.siblings {
		if s := &x.siblings[i]; x.isLive(now, s) && s.standing.Waiting > 0 {
			return true
		}
	}
	return false
}

// ServicesFor returns the services that a sibling is told: those of the teams at home there.
func (x *Exchange) ServicesFor(to cell.ID, services []cell.Service) []cell.Service {
	var told []cell.Service
	for _, service := range services {
		if HomesOf(service.Team, x.conf.Cells).Has(to) {
			told = append(told, service)
		}
	}
	return told
}

// Told notes that the siblings were told.
func (x *Exchange) Told(now time.Time, own cell.Standing) {
	x.toldAt = now
	x.toldFree = 0
	if own.Waiting == 0 {
		x.toldFree = own.Free
	}
}

// Hear takes in a sibling's word and returns what it has served since its last one.
//
// A cell without a backlog advances its virtual time by its own grants alone. So
// the scales of two cells are compared anew after either had no backlog, and the
// difference then counts as none.
func (x *Exchange) Hear(now time.Time, tell *Tell, own cell.Standing) []cell.Service {
	s := x.find(tell.From)
	if s == nil || tell.Life < s.life {
		return nil
	}
	isNew := tell.Life != s.life || s.served == nil
	if isNew {
		s.life, s.served = tell.Life, make(map[cell.TeamID]cell.Cost)
	}
	if isNew || tell.Standing.Waiting == 0 || tell.Standing.Periods != s.standing.Periods || own.Periods != s.periods {
		s.offset = tell.Standing.Virtual - own.Virtual
	}
	s.periods = own.Periods
	s.heard, s.standing = now, tell.Standing
	var more []cell.Service
	for _, total := range tell.Services {
		if cost := total.Cost - s.served[total.Team]; cost > 0 {
			s.served[total.Team] = total.Cost
			more = append(more, cell.Service{Team: total.Team, Cost: cost})
		}
	}
	return more
}

func (x *Exchange) find(id cell.ID) *sibling {
	for i := range x.siblings {
		if x.siblings[i].id == id {
			return &x.siblings[i]
		}
	}
	return nil
}

func (x *Exchange) isLive(now time.Time, s *sibling) bool {
	return !s.heard.IsZero() && now.Sub(s.heard) < x.conf.Silence
}

// Follow returns the virtual time that this cell advances to without a backlog: it
// moves on as the slowest sibling with work that waits.
func (x *Exchange) Follow(now time.Time, virtual float64) float64 {
	least := math.Inf(1)
	for i := range x.siblings {
		if s := &x.siblings[i]; x.isLive(now, s) && s.standing.Waiting > 0 {
			least = min(least, s.virtual())
		}
	}
	if math.IsInf(least, 1) {
		return virtual
	}
	return max(virtual, least)
}

// Rescale compares the scales anew, since this cell has no backlog.
func (x *Exchange) Rescale(virtual float64) {
	for i := range x.siblings {
		s := &x.siblings[i]
		s.offset = s.standing.Virtual - virtual
	}
}

// Lead returns how far this cell is ahead of the others on average.
func (x *Exchange) Lead(now time.Time, virtual float64) float64 {
	lead, live := 0.0, 0
	for i := range x.siblings {
		if s := &x.siblings[i]; x.isLive(now, s) {
			lead += virtual - s.virtual()
			live++
		}
	}
	return lead / float64(max(1, live))
}

// virtual is the sibling's virtual time on this cell's scale.
func (s *sibling) virtual() float64 { return s.standing.Virtual - s.offset }

// Pass returns what is to move to a sibling; it is due once after each word of it.
//
// A sibling that is further on in virtual time serves teams that have had more, so
// requests of teams that have had less move there. A sibling about to run out of
// requests gets some of any team. Each cell sends its part of what the sibling can
// grant until its next word, so that all together send no more.
func (x *Exchange) Pass(now time.Time, to cell.ID, own cell.Standing) (Passing, bool) {
	s := x.find(to)
	if s == nil || !x.isLive(now, s) || s.standing.Slots == 0 || own.Waiting == 0 {
		return Passing{}, false
	}
	passing := Passing{To: to, Below: s.virtual()}
	count := x.behind(now, s, own)
	if lacking := x.lacking(now, s, own); lacking > count {
		count, passing.Below = lacking, math.Inf(1)
	}
	count += s.owed
	passing.Count = min(int(count), own.Waiting)
	s.owed = count - math.Floor(count)
	return passing, passing.Count > 0
}

// behind returns this cell's part of a sibling's grants, by how far each cell is behind it.
func (x *Exchange) behind(now time.Time, ahead *sibling, own cell.Standing) float64 {
	if ahead.standing.Waiting == 0 {
		return 0
	}
	mine := x.lag(ahead, own.Virtual)
	if mine == 0 {
		return 0
	}
	total := mine
	for i := range x.siblings {
		if s := &x.siblings[i]; s != ahead && x.isLive(now, s) && s.standing.Waiting > 0 {
			total += x.lag(ahead, s.virtual())
		}
	}
	return float64(ahead.standing.Granted) * mine / total
}

// lag returns how far a virtual time is behind a sibling's, less the margin.
func (x *Exchange) lag(ahead *sibling, virtual float64) float64 {
	return max(0, ahead.virtual()-virtual-x.conf.Margin)
}

// lacking returns this cell's part of the requests that a sibling lacks until its
// next word, by how much each cell has above the mean.
func (x *Exchange) lacking(now time.Time, short *sibling, own cell.Standing) float64 {
	ahead := func(at cell.Standing) float64 { return float64(at.Waiting - at.Free) }
	slots := func(at cell.Standing) float64 { return float64(at.Slots) }
	mean := (ahead(own) + ahead(short.standing) + x.sum(now, short, ahead)) /
		(slots(own) + slots(short.standing) + x.sum(now, short, slots))
	excess := func(at cell.Standing) float64 { return max(0, ahead(at)-mean*slots(at)) }
	need := float64(short.standing.Granted) - ahead(short.standing)
	need = min(need, mean*slots(short.standing)-ahead(short.standing))
	mine := excess(own)
	if need <= 0 || mine == 0 {
		return 0
	}
	return need * mine / (mine + x.sum(now, short, excess))
}

// sum adds up a value of all live siblings but one.
func (x *Exchange) sum(now time.Time, but *sibling, value func(cell.Standing) float64) float64 {
	total := 0.0
	for i := range x.siblings {
		if s := &x.siblings[i]; s != but && x.isLive(now, s) {
			total += value(s.standing)
		}
	}
	return total
}
