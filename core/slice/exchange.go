package slice

import (
	"cmp"
	"math"
	"time"

	"ryelug/core/cell"
)

// Defaults of the fields of ExchangeConfig with the same names.
const (
	DefaultInterval = time.Second
	DefaultIdleGap  = 50 * time.Millisecond
	DefaultSilence  = 3 * time.Second
)

// ExchangeConfig configures an Exchange. Zero durations are replaced by the defaults.
type ExchangeConfig struct {
	Self     cell.ID       // Self is the cell of this dispatcher.
	Cells    []cell.ID     // Cells lists all cells of the pool, Self included.
	Interval time.Duration // Interval is the time between two regular reports to the siblings.
	IdleGap  time.Duration // IdleGap is the least time between two reports when slots become idle.
	Silence  time.Duration // Silence is the age from which a sibling's last report is ignored.
	Margin   float64       // Margin is the lead in virtual time up to which a sibling that has enough requests is passed none.
}

// ServiceReport is the report that a cell's dispatcher sends to its siblings, the other cells of the
// pool. It carries totals, so a report that is duplicated or lost does no harm.
type ServiceReport struct {
	From        cell.ID        // From is the reporting cell.
	Incarnation uint64         // Incarnation is the incarnation of the dispatcher; a later one has a higher number and counts its totals from zero.
	Status      cell.Status    // Status is the state of the cell's queue and slots.
	Services    []cell.Service // Services lists the total service of the teams for which it has changed enough since the last report.
}

// Transfer says how many waiting requests are to be passed on to a sibling, and of which teams.
type Transfer struct {
	To    cell.ID // To is the sibling that receives the requests.
	Count int     // Count is the number of requests to pass on.
	Below float64 // Below is an exclusive limit: only teams whose service divided by share is less than Below have requests passed on. Infinity means all teams.
}

// Exchange holds what the dispatcher of one cell knows of its siblings, the other cells of its pool. It is not safe for concurrent use.
type Exchange struct {
	conf     ExchangeConfig
	siblings []sibling // siblings holds the other cells of the pool.
	sentAt   time.Time // sentAt is when the last report was sent.
	sentFree int       // sentFree is the number of free slots in the last report sent; zero if requests waited.
}

// sibling holds what another cell of the pool has reported.
type sibling struct {
	id          cell.ID                   // id is the cell ID of the sibling.
	incarnation uint64                    // incarnation numbers the sibling's dispatcher; reports of lower incarnations are ignored.
	heardAt     time.Time                 // heardAt is when the last report arrived; zero if none has.
	status      cell.Status               // status is the state of the sibling's queue and slots in its last report.
	served      map[cell.TeamID]cell.Cost // served is the total service of each team that the incarnation has reported, in cost units.
	periods     int                       // periods is this cell's own Status.Periods when the sibling's last report arrived. If the count differs at the next report, this cell has had no backlog at some time in between.
	offset      float64                   // offset is the sibling's virtual time minus this cell's at the time when the two were last treated as equal.
	remainder   float64                   // remainder is the fraction of a request that was left over when Pass last rounded down.
}

// NewExchange returns an Exchange that has received no report yet.
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

// IsDue reports whether a report to the siblings is due: the interval has passed, or
// more slots have become idle than last reported while requests wait at a sibling.
func (x *Exchange) IsDue(now time.Time, own cell.Status) bool {
	since := now.Sub(x.sentAt)
	if since >= x.conf.Interval {
		return true
	}
	isIdle := own.Waiting == 0 && own.Free > x.sentFree
	return isIdle && since >= x.conf.IdleGap && x.hasSiblingBacklog(now)
}

// hasSiblingBacklog reports whether requests wait at any live sibling.
func (x *Exchange) hasSiblingBacklog(now time.Time) bool {
	for i := range x.siblings {
		if s := &x.siblings[i]; x.isLive(now, s) && s.status.Waiting > 0 {
			return true
		}
	}
	return false
}

// ServicesFor returns those of the services to report to a sibling: the ones of teams that have a home there.
func (x *Exchange) ServicesFor(to cell.ID, services []cell.Service) []cell.Service {
	var reported []cell.Service
	for _, service := range services {
		if HomesOf(service.Team, x.conf.Cells).Has(to) {
			reported = append(reported, service)
		}
	}
	return reported
}

// RecordSent records that this cell's state was reported to the siblings.
func (x *Exchange) RecordSent(now time.Time, own cell.Status) {
	x.sentAt = now
	x.sentFree = 0
	if own.Waiting == 0 {
		x.sentFree = own.Free
	}
}

// HandleReport records a sibling's report and returns what the sibling has served each team, in cost units, since its last one.
//
// The virtual time of a cell without a backlog advances by its own grants alone, so it
// can't be compared with that of another cell. HandleReport treats the virtual times of the two cells
// as equal now if the sibling has no backlog, if the backlog of either cell has been empty and
// has grown again since the last report, or if the sibling's dispatcher is new. Later differences
// are relative to that moment.
func (x *Exchange) HandleReport(now time.Time, report *ServiceReport, own cell.Status) []cell.Service {
	s := x.siblingByID(report.From)
	if s == nil || report.Incarnation < s.incarnation {
		return nil
	}
	isNew := report.Incarnation != s.incarnation || s.served == nil
	if isNew {
		s.incarnation, s.served = report.Incarnation, make(map[cell.TeamID]cell.Cost)
	}
	if isNew || report.Status.Waiting == 0 || report.Status.Periods != s.status.Periods || own.Periods != s.periods {
		s.offset = report.Status.Virtual - own.Virtual
	}
	s.periods = own.Periods
	s.heardAt, s.status = now, report.Status
	var more []cell.Service
	for _, total := range report.Services {
		if cost := total.Cost - s.served[total.Team]; cost > 0 {
			s.served[total.Team] = total.Cost
			more = append(more, cell.Service{Team: total.Team, Cost: cost})
		}
	}
	return more
}

// siblingByID returns the sibling with the given cell ID, or nil if the pool has none.
func (x *Exchange) siblingByID(id cell.ID) *sibling {
	for i := range x.siblings {
		if x.siblings[i].id == id {
			return &x.siblings[i]
		}
	}
	return nil
}

// isLive reports whether the sibling's last report is recent enough to be used.
func (x *Exchange) isLive(now time.Time, s *sibling) bool {
	return !s.heardAt.IsZero() && now.Sub(s.heardAt) < x.conf.Silence
}

// Follow returns the virtual time that this cell advances to while it has no backlog. It
// follows the least virtual time among the siblings that have requests waiting, but never goes back.
func (x *Exchange) Follow(now time.Time, virtual float64) float64 {
	least := math.Inf(1)
	for i := range x.siblings {
		if s := &x.siblings[i]; x.isLive(now, s) && s.status.Waiting > 0 {
			least = min(least, s.virtual())
		}
	}
	if math.IsInf(least, 1) {
		return virtual
	}
	return max(virtual, least)
}

// Rescale sets each sibling's offset so that its last reported virtual time, on this cell's scale, equals the given virtual time
// of this cell. Later differences are relative to this moment. It is to be called while this cell has no backlog.
func (x *Exchange) Rescale(virtual float64) {
	for i := range x.siblings {
		s := &x.siblings[i]
		s.offset = s.status.Virtual - virtual
	}
}

// Lead returns how far this cell's virtual time is ahead of the live siblings' on average; zero if there are none.
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

// virtual returns the sibling's virtual time on this cell's scale.
func (s *sibling) virtual() float64 { return s.status.Virtual - s.offset }

// Pass returns how many waiting requests to pass on to a sibling, and reports whether there are any. It must be called once after each report of the sibling.
//
// A sibling that is further ahead in virtual time serves teams that have had more
// service, so requests of teams that have had less are passed on to it. A sibling about to run
// out of requests gets some of any team. Each cell sends its part of what the sibling
// can grant until its next report, so that all cells together do not send more.
func (x *Exchange) Pass(now time.Time, to cell.ID, own cell.Status) (Transfer, bool) {
	s := x.siblingByID(to)
	if s == nil || !x.isLive(now, s) || s.status.Slots == 0 || own.Waiting == 0 {
		return Transfer{}, false
	}
	transfer := Transfer{To: to, Below: s.virtual()}
	count := x.grantsByLag(now, s, own)
	if shortagePart := x.shortagePart(now, s, own); shortagePart > count {
		count, transfer.Below = shortagePart, math.Inf(1)
	}
	count += s.remainder
	transfer.Count = min(int(count), own.Waiting)
	s.remainder = count - math.Floor(count)
	return transfer, transfer.Count > 0
}

// grantsByLag returns how many requests this cell should pass on to a sibling that is ahead of it in virtual time. The
// cells divide the number of grants that the sibling made between its last two reports, in proportion to how far each
// cell is behind it, less the margin. The result is zero if no requests wait at the sibling.
func (x *Exchange) grantsByLag(now time.Time, ahead *sibling, own cell.Status) float64 {
	if ahead.status.Waiting == 0 {
		return 0
	}
	mine := x.lag(ahead, own.Virtual)
	if mine == 0 {
		return 0
	}
	total := mine
	for i := range x.siblings {
		if s := &x.siblings[i]; s != ahead && x.isLive(now, s) && s.status.Waiting > 0 {
			total += x.lag(ahead, s.virtual())
		}
	}
	return float64(ahead.status.Granted) * mine / total
}

// lag returns how far a virtual time is behind a sibling's, less the margin; zero if it is not behind.
func (x *Exchange) lag(ahead *sibling, virtual float64) float64 {
	return max(0, ahead.virtual()-virtual-x.conf.Margin)
}

// shortagePart returns how many requests this cell should pass on to a sibling that has fewer
// than it can grant until its next report. The cells divide the missing requests in proportion to
// their excess. For this, a cell's load is its waiting requests minus its free slots, and its excess
// is the load beyond what its number of slots would have at the pool's mean load per slot.
func (x *Exchange) shortagePart(now time.Time, short *sibling, own cell.Status) float64 {
	ahead := func(at cell.Status) float64 { return float64(at.Waiting - at.Free) }
	slots := func(at cell.Status) float64 { return float64(at.Slots) }
	mean := (ahead(own) + ahead(short.status) + x.sum(now, short, ahead)) /
		(slots(own) + slots(short.status) + x.sum(now, short, slots))
	excess := func(at cell.Status) float64 { return max(0, ahead(at)-mean*slots(at)) }
	need := float64(short.status.Granted) - ahead(short.status)
	need = min(need, mean*slots(short.status)-ahead(short.status))
	mine := excess(own)
	if need <= 0 || mine == 0 {
		return 0
	}
	return need * mine / (mine + x.sum(now, short, excess))
}

// sum adds up a value over all live siblings except one.
func (x *Exchange) sum(now time.Time, except *sibling, value func(cell.Status) float64) float64 {
	total := 0.0
	for i := range x.siblings {
		if s := &x.siblings[i]; s != except && x.isLive(now, s) {
			total += value(s.status)
		}
	}
	return total
}
