package region

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"ryelug/bench"
	"ryelug/core/config"
	"ryelug/standin/endpoint"
	"ryelug/standin/fleet"
)

const (
	tokens      = 20
	teamCount   = 16
	largestCost = 24
	queueLimit  = 1000
	callerPause = 100 * time.Millisecond

	phaseSpan = 20 * time.Second // phaseSpan is the time before a cut and after it.
	sampling  = 100 * time.Millisecond
)

// Names of the regions; the platform is in the first one.
const (
	East  = "east"
	South = "south"
	West  = "west"
)

// Regions lists the regions.
var Regions = []string{East, South, West}

// DataCentres lists the 8 data centres, so that routers and engines in turn spread over the regions.
var DataCentres = []string{"east-a", "south-a", "west-a", "east-b", "south-b", "west-b", "east-c", "south-c"}

// One-way delays.
const (
	withinDataCentre = 250 * time.Microsecond
	withinRegion     = time.Millisecond
	eastToSouth      = 20 * time.Millisecond
	southToWest      = 50 * time.Millisecond
	eastToWest       = 80 * time.Millisecond
)

// Delay returns the one-way delay between two data centres.
func Delay(from, to string) time.Duration {
	a, b := regionOf(from), regionOf(to)
	switch {
	case from == to:
		return withinDataCentre
	case a == b:
		return withinRegion
	case a != West && b != West:
		return eastToSouth
	case a != East && b != East:
		return southToWest
	default:
		return eastToWest
	}
}

func regionOf(dataCentre string) string {
	region, _, _ := strings.Cut(dataCentre, "-")
	return region
}

// centresOf returns the data centres of a region.
func centresOf(region string) []string {
	return slices.DeleteFunc(slices.Clone(DataCentres), func(name string) bool { return regionOf(name) != region })
}

// Plan says what a run is like.
type Plan struct {
	Routers  int
	Engines  int
	Callers  int // Callers are those of each router.
	Cut      time.Duration
	Settings string // Settings are further lines of each router's settings.
	Seed     uint64
}

// Report is what one run was like.
type Report struct {
	Phases      []Phase                   `json:"phases"`
	Retries     map[string]int64          `json:"retries"`      // Retries are those of all routers since the start of measuring, by reason.
	Stakes      map[string]float64        `json:"stakes"`       // Stakes are the part that dispatchers of each region hold at the end of the cut.
	Stall       map[string]float64        `json:"stall_s"`      // Stall is the longest time within the cut in which no probe of a region got its first token.
	LastServed  map[string]float64        `json:"served_s"`     // LastServed is the time from the cut until the send of a region's last probe that was answered before the heal.
	Recovery    map[string]float64        `json:"recovery_s"`   // Recovery is the time from the heal until a region's first answer.
	LastRefusal map[string]float64        `json:"refusals_s"`   // LastRefusal is the time from the heal until a region's last refusal of a request sent after it.
	Probes      map[string]map[string]int `json:"probes"`       // Probes counts the replies to probes by region and result code.
	ColdServed  int                       `json:"cold_served"`  // ColdServed is the requests that an engine of the first region completes in the half of the cut after its restart.
	Whole       bool                      `json:"whole_again"`  // Whole tells that one dispatcher holds all stakes at the end, with nothing in flight.
	Excesses    int                       `json:"excesses"`     // Excesses are admissions above the limit of an engine.
	Control     bench.Rates               `json:"control"`      // Control is before the cut.
	Processor   float64                   `json:"processor_ms"` // Processor is in milliseconds a node and second before the cut, stand-ins included.
}

// Run runs a fleet whose regions lose each other for a while.
func Run(ctx context.Context, plan Plan) (Report, error) {
	r := &run{plan: plan, fleet: newFleet(plan)}
	if err := r.fleet.Start(ctx); err != nil {
		return Report{}, err
	}
	if err := r.fleet.Await(ctx); err != nil {
		return Report{}, err
	}
	r.drive(ctx)
	time.Sleep(phaseSpan)
	before := bench.ReadControl(ctx, r.fleet)
	r.earlier = r.retries(ctx)
	r.marks = append(r.marks, time.Now())
	time.Sleep(phaseSpan)
	spent := bench.ReadControl(ctx, r.fleet).Since(before)
	report := Report{Control: spent.Rates(), Processor: spent.ProcessorRate()}
	r.marks = append(r.marks, time.Now())
	if plan.Cut > 0 {
		r.cut(ctx, &report)
	}
	r.stop()
	report.Whole = r.whole(ctx)
	r.fill(ctx, &report)
	return report, r.fleet.Close()
}

func newFleet(plan Plan) *fleet.Fleet {
	teams := make([]config.Team, teamCount)
	for i := range teams {
		teams[i] = config.Team{Name: fmt.Sprintf("team-%02d", i), Share: 1}
	}
	return fleet.New(fleet.Config{
		Routers:     plan.Routers,
		Engines:     plan.Engines,
		Teams:       teams,
		DataCentres: DataCentres,
		Between:     Delay,
		Seed:        plan.Seed,
		Engine:      bench.Engine(),
		QueueLimit:  queueLimit,
		LargestCost: largestCost,
		Settings:    plan.Settings,
	})
}

// run is a run under way.
type run struct {
	plan    Plan
	fleet   *fleet.Fleet
	loads   map[string]*fleet.Run
	replies map[string][]*fleet.Reply
	probed  map[string][]*fleet.Reply // probed are the replies to probes that start with the cut.
	earlier map[string]int64          // earlier are the retries before measuring.
	marks   []time.Time               // marks are the start of measuring, the cut, the heal and the end.
}

// drive starts the callers of each region, who use its routers only.
func (r *run) drive(ctx context.Context) {
	r.loads = map[string]*fleet.Run{}
	for _, region := range Regions {
		var loads []fleet.Load
		for i, m := range r.fleet.Routers {
			if regionOf(m.DataCentre) != region {
				continue
			}
			for c := range r.plan.Callers {
				team := fmt.Sprintf("team-%02d", (i+c)%teamCount)
				loads = append(loads, fleet.Load{Team: team, Callers: 1, Routers: []int{i}, Tokens: tokens, Pause: callerPause})
			}
		}
		r.loads[region] = r.fleet.Drive(ctx, loads...)
	}
}

// cut separates all regions from each other for a while; half way, an engine of the first one restarts cold.
func (r *run) cut(ctx context.Context, report *Report) {
	r.eachPair(r.fleet.Cut)
	started := map[string]*probes{}
	for _, region := range Regions {
		started[region] = r.probe(ctx, region)
	}
	time.Sleep(r.plan.Cut / 2)
	restarted := r.fleet.Engines[0]
	restarted.Restart()
	completed := restarted.History().Count(endpoint.CompletedRun)
	time.Sleep(r.plan.Cut / 2)
	report.ColdServed = restarted.History().Count(endpoint.CompletedRun) - completed
	report.Stakes = r.stakes(ctx)
	r.eachPair(r.fleet.Heal)
	r.marks = append(r.marks, time.Now())
	time.Sleep(phaseSpan)
	r.marks = append(r.marks, time.Now())
	r.probed = map[string][]*fleet.Reply{}
	for region, one := range started {
		r.probed[region] = one.stop()
	}
}

func (r *run) eachPair(apply func(some, others []string)) {
	for i, a := range Regions {
		for _, b := range Regions[i+1:] {
			apply(centresOf(a), centresOf(b))
		}
	}
}

// stakes returns the part of the stakes that the dispatchers of each region hold.
func (r *run) stakes(ctx context.Context) map[string]float64 {
	held := map[string]float64{}
	for _, m := range r.fleet.Routers {
		view, _ := m.Router().View(ctx)
		for _, shot := range view.Cells {
			held[regionOf(m.DataCentre)] += float64(shot.Held) / float64(max(shot.Total, 1))
		}
	}
	return held
}

func (r *run) stop() {
	r.replies = map[string][]*fleet.Reply{}
	for region, load := range r.loads {
		r.replies[region] = load.Stop()
	}
}

// whole tells whether one dispatcher holds all stakes and nothing is in flight.
func (r *run) whole(ctx context.Context) bool {
	time.Sleep(phaseSpan)
	for _, m := range r.fleet.Routers {
		view, _ := m.Router().View(ctx)
		for _, shot := range view.Cells {
			if shot.Held == 0 {
				continue
			}
			for _, endpoint := range shot.Endpoints {
				if endpoint.InFlight > 0 {
					return false
				}
			}
			return shot.Held == len(r.fleet.Routers)
		}
	}
	return false
}
