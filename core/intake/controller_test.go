package intake_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/due"
	"ryelug/core/intake"
	"ryelug/core/limit"
	"ryelug/core/neighbour"
)

var (
	start  = time.Unix(1000, 0)
	kiosks = &intake.Arrival{Cell: "chat", Team: "kiosks", Cost: 100}
	flood  = &intake.Arrival{Cell: "chat", Team: "flood", Cost: 100}
)

// testController wraps a Controller of a router that may use one whole core.
type testController struct {
	*intake.Controller
	standings *due.Standings
	unserved  *due.Unserved
	now       time.Time     // now is the simulated time.
	used      time.Duration // used is the processor time used so far.
}

func newTestController() *testController {
	d := &testController{standings: &due.Standings{}, unserved: &due.Unserved{}, now: start}
	d.Controller = intake.New(intake.Config{
		StrainLate: 25 * time.Millisecond, ProcessorShare: 1, BalancerLag: 3 * time.Second, Standings: d.standings, Unserved: d.unserved,
	})
	d.RecordWork(d.now, limit.Work{})
	return d
}

// useProcessor advances the time by one second in which the router uses the given fraction of its processor.
func (d *testController) useProcessor(fraction float64) {
	for range 10 {
		d.now = d.now.Add(100 * time.Millisecond)
		d.used += time.Duration(fraction * float64(100*time.Millisecond))
		d.RecordWork(d.now, limit.Work{Processor: d.used})
	}
}

func TestRequestsGiveWay(t *testing.T) {
	t.Run("no team is behind", func(t *testing.T) {
		is, d := is.New(t), newTestController()
		d.useProcessor(0.85)
		is.True(!d.MayReject(d.now))
		is.Equal(d.Enter(d.now, flood), intake.Serve)
	})
	t.Run("the router has spare capacity", func(t *testing.T) {
		is, d := is.New(t), newTestController()
		d.useProcessor(0.6)
		d.standings.Set(d.now, "chat", []cell.TeamID{"kiosks"})
		is.True(!d.MayReject(d.now))
		is.Equal(d.Enter(d.now, flood), intake.Serve)
	})
	t.Run("a busy router serves teams that are behind", func(t *testing.T) {
		is, d := is.New(t), newTestController()
		d.useProcessor(0.85)
		d.standings.Set(d.now, "chat", []cell.TeamID{"kiosks"})
		is.True(d.MayReject(d.now))
		is.Equal(d.Precheck(d.now, kiosks), intake.Serve)
		is.Equal(d.Enter(d.now, kiosks), intake.Serve)
		is.Equal(d.Precheck(d.now, flood), intake.Ahead)
		is.Equal(d.Enter(d.now, &intake.Arrival{Cell: "tickets", Team: "-"}), intake.Serve) // No team is behind in this cell.
		is.True(d.RetryAfter(d.now, intake.Ahead) >= time.Second)
		is.Equal(d.unserved.Take("chat"), []cell.Unserved{{Team: "flood", Count: 1, Cost: 100}})
	})
	t.Run("an overloaded router admits a team that is behind beyond its bound", func(t *testing.T) {
		is, d := is.New(t), newTestController()
		for range 20 {
			is.Equal(d.Enter(d.now, flood), intake.Serve)
		}
		d.now = d.now.Add(d.Tick(d.now, 0))
		d.Tick(d.now, time.Second)
		for range 8 {
			d.Leave(flood.Team)
		}
		is.Equal(d.Enter(d.now, flood), intake.Overloaded)
		d.standings.Set(d.now, "chat", []cell.TeamID{"kiosks"})
		is.Equal(d.Enter(d.now, flood), intake.Overloaded)
		for range 3 {
			is.Equal(d.Enter(d.now, kiosks), intake.Serve)
		}
	})
}

func TestConnectionsGoToNeighbours(t *testing.T) {
	is, d := is.New(t), newTestController()
	idle := func(*neighbour.Router) (int, bool) { return 100, true }
	d.SetNeighbours([]neighbour.Router{{Host: "b", Address: netip.MustParseAddrPort("192.0.2.1:7000"), Processor: 800}})
	_, ok := d.Neighbour(d.now, d.ReportedLoad(d.now), idle)
	is.True(!ok) // This router has spare capacity.
	d.useProcessor(0.6)
	one, ok := d.Neighbour(d.now, d.ReportedLoad(d.now), idle)
	is.True(ok)
	is.Equal(one.Host, cell.HostID("b"))
}
