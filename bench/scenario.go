package bench

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"ryelug/core/config"
	"ryelug/core/dispatch"
	"ryelug/standin/engine"
	"ryelug/standin/fleet"
	"ryelug/standin/network"
	"ryelug/standin/service"
)

// Deployment is one user's fleet.
type Deployment struct {
	Name        string
	Delay       time.Duration // Delay is the one-way delay between hosts.
	DataCentres []string
}

// Deployments returns the users' fleets.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "baths", Delay: time.Millisecond, DataCentres: []string{"khomas-a", "khomas-b", "khomas-c"}},
		{Name: "kvali", Delay: 500 * time.Microsecond, DataCentres: []string{"tbilisi-a", "tbilisi-b", "tbilisi-c"}},
	}
}

// Mode is the router code or a baseline.
type Mode struct {
	Name        string
	Order       dispatch.Order
	LocalQueues bool

	coldLimit int // coldLimit is that of the document; a fixed split of the usual one leaves every router none.
}

// Modes returns the router code and the baselines.
func Modes() []Mode {
	return []Mode{
		{Name: "ryelug", coldLimit: coldLimit},
		{Name: "first_come", Order: dispatch.FirstCome{}, coldLimit: coldLimit},
		{Name: "local_queues", LocalQueues: true, coldLimit: warmLimit},
	}
}

// Sizes of today's fleets.
const (
	routers      = 7
	engines      = 10
	services     = 3
	largeTeams   = 4
	smallTeams   = 12
	largeShare   = 4
	smallShare   = 1
	warmLimit    = 8
	coldLimit    = 2
	warmUp       = 10
	tokens       = 40
	largestCost  = 44
	callDuration = 50 * time.Millisecond
	reportLag    = 500 * time.Millisecond
	queueLimit   = 400
)

// Delays of the stand-in engines.
const (
	FirstTokenTime = 100 * time.Millisecond // FirstTokenTime is the time to the first token.
	TokenGap       = 20 * time.Millisecond  // TokenGap is the time between tokens.
)

// Engine returns what the stand-in engines are like.
func Engine() engine.Config {
	return engine.Config{
		WarmLimit:  warmLimit,
		ColdLimit:  coldLimit,
		WarmUp:     warmUp,
		FirstToken: FirstTokenTime,
		TokenGap:   TokenGap,
		ReportLag:  reportLag,
	}
}

func (m Mode) engine() engine.Config {
	config := Engine()
	config.ColdLimit = m.coldLimit
	return config
}

// Callers of a team; each sends its next request when it has its answer.
const (
	floodCallers = 120
	largeCallers = 40
	smallCallers = 8
	callPause    = 500 * time.Millisecond
)

// Script is when things happen, from the start of the load.
type Script struct {
	Settled time.Duration // Settled is when measuring begins.
	Out     time.Duration // Out is when a data centre is taken out.
	Return  time.Duration // Return is when it is returned, with its engines cold.
	End     time.Duration
}

// DefaultScript returns a minute of load in which a data centre leaves and returns.
func DefaultScript() Script {
	return Script{Settled: 5 * time.Second, Out: 20 * time.Second, Return: 35 * time.Second, End: 60 * time.Second}
}

// Result is what one run was like.
type Result struct {
	Deployment Deployment
	Mode       Mode
	Script     Script
	Began      time.Time
	Fleet      *fleet.Fleet
	Replies    []*fleet.Reply
	Control    Control
}

func (d Deployment) fleet(mode Mode, seed uint64) *fleet.Fleet {
	return fleet.New(fleet.Config{
		Routers:     routers,
		Engines:     engines,
		Services:    services,
		Teams:       Teams(),
		DataCentres: d.DataCentres,
		Delay:       d.NetworkDelay(),
		Seed:        seed,
		Engine:      mode.engine(),
		Service: service.Config{
			WarmLimit: warmLimit, ColdLimit: mode.coldLimit, WarmUp: warmUp,
			Duration: callDuration, ReportLag: reportLag,
		},
		QueueLimit:  queueLimit,
		LargestCost: largestCost,
		Order:       mode.Order,
		LocalQueues: mode.LocalQueues,
	})
}

// NetworkDelay returns the delays between the deployment's hosts.
func (d Deployment) NetworkDelay() network.Delay {
	return func(from, to netip.Addr) time.Duration {
		if from == to {
			return 0
		}
		return d.Delay
	}
}

// Teams returns the teams, a few large ones first.
func Teams() []config.Team {
	var teams []config.Team
	for i := range largeTeams {
		teams = append(teams, config.Team{Name: fmt.Sprintf("large-%d", i+1), Share: largeShare})
	}
	for i := range smallTeams {
		teams = append(teams, config.Team{Name: fmt.Sprintf("small-%02d", i+1), Share: smallShare})
	}
	return teams
}

// loads keeps all teams backlogged: the first floods the fleet, large ones use
// all routers but two, and small ones use one router each.
func loads() []fleet.Load {
	var all []fleet.Load
	busy := []int{0, 1, 2, 3, 4}
	for i, team := range Teams() {
		load := fleet.Load{Team: team.Name, Tokens: tokens}
		switch {
		case i == 0:
			load.Callers, load.Routers = floodCallers, busy
		case i < largeTeams:
			load.Callers, load.Routers = largeCallers, busy
		default:
			load.Callers, load.Routers = smallCallers, busy[i%len(busy):i%len(busy)+1]
		}
		all = append(all, load, fleet.Load{Team: team.Name, Callers: 1, Service: true, Pause: callPause})
	}
	return all
}

// Run runs one deployment in one mode; it keeps time only through the time package.
func Run(ctx context.Context, d Deployment, mode Mode, script Script, seed uint64) (*Result, error) {
	f := d.fleet(mode, seed)
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	if err := settle(ctx, f, mode); err != nil {
		return nil, err
	}
	run := f.Drive(ctx, loads()...)
	time.Sleep(script.Settled)
	result := &Result{Deployment: d, Mode: mode, Script: script, Began: time.Now().Add(-script.Settled), Fleet: f}
	before := ReadControl(ctx, f)
	time.Sleep(script.Out - script.Settled)
	result.Control = ReadControl(ctx, f).Since(before)
	if err := result.leaveAndReturn(ctx); err != nil {
		return nil, err
	}
	result.Replies = run.Stop()
	return result, f.Close()
}

// settle waits until the routers are ready; with local queues no dispatcher ever holds all stakes.
func settle(ctx context.Context, f *fleet.Fleet, mode Mode) error {
	if !mode.LocalQueues {
		return f.Await(ctx)
	}
	const quarantine = 10 * time.Second
	time.Sleep(quarantine)
	return nil
}

// leaveAndReturn takes a data centre out and returns it with cold engines.
func (r *Result) leaveAndReturn(ctx context.Context) error {
	centre := r.centre()
	if err := r.Fleet.TakeOut(ctx, centre, true); err != nil {
		return err
	}
	time.Sleep(r.Script.Return - r.Script.Out)
	for _, e := range r.enginesOf(centre) {
		e.Restart()
	}
	if err := r.Fleet.TakeOut(ctx, centre, false); err != nil {
		return err
	}
	time.Sleep(r.Script.End - r.Script.Return)
	return nil
}

// centre returns the data centre that leaves.
func (r *Result) centre() string {
	return r.Deployment.DataCentres[1]
}

func (r *Result) enginesOf(centre string) []*engine.Engine {
	var found []*engine.Engine
	for i, e := range r.Fleet.Engines {
		if r.Fleet.Document.Endpoints[i].DataCentre == centre {
			found = append(found, e)
		}
	}
	return found
}
