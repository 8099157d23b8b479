package pace_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/pace"
)

func load(percent uint16) cell.EndpointLoad { return cell.EndpointLoad{Slots: 6, Pace: percent} }

// A faulty report must not activate anything, nor move the pace.
func TestPaceOutsideItsRangeIsAbsent(t *testing.T) {
	is := is.New(t)
	var e pace.Endpoint
	now := time.Now()
	for _, percent := range []uint16{0, 9, 1001, math.MaxUint16} {
		is.True(!e.Report(now, load(percent)))
	}
	is.True(!e.IsKnown())
	is.Equal(e.Factor(now), 1.0)
	is.True(e.Report(now, load(250)))
	is.True(!e.Report(now, load(5)))
	is.Equal(e.Factor(now), 2.5)
}

// An endpoint that gets no work after a slow report can't report that it is fast again, and would stay avoided.
func TestOldReportLosesItsWeight(t *testing.T) {
	is := is.New(t)
	var e pace.Endpoint
	now := time.Now()
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		e.Report(now, load(100))
	}
	e.Report(now, load(250))
	is.Equal(e.Factor(now.Add(300*time.Millisecond)), 2.5)
	is.True(!e.IsDoubtful(now.Add(300 * time.Millisecond)))
	is.True(e.IsDoubtful(now.Add(301 * time.Millisecond)))
	is.True(e.Factor(now.Add(600*time.Millisecond)) < 1.1)
	is.True(e.Long() < 1.05) // one slow report is no slow endpoint
}

// Guards against an endpoint that stops reporting after a slow report and stays doubtful from then on, though it answers.
func TestAnswersWithoutAReportEndTheDoubt(t *testing.T) {
	is := is.New(t)
	var e pace.Endpoint
	now := time.Now()
	e.Report(now, load(250))
	e.Answered(now)
	is.True(e.IsDoubtful(now.Add(400 * time.Millisecond)))
	e.Answered(now.Add(400 * time.Millisecond))
	is.True(!e.IsDoubtful(now.Add(400 * time.Millisecond)))
	is.True(!e.IsDoubtful(now.Add(time.Minute)))
	e.Report(now.Add(time.Minute), load(250))
	is.True(e.IsDoubtful(now.Add(time.Minute + 400*time.Millisecond)))
}

// Permanently slow endpoints are told from those in a pause.
func TestLongTermPaceLeavesOutPauses(t *testing.T) {
	is := is.New(t)
	var steady, slow pace.Endpoint
	now := time.Now()
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		factor := uint16(100)
		if i%170 < 40 {
			factor = 250
		}
		steady.Report(now, load(factor))
		slow.Report(now, load(2*factor))
	}
	is.True(steady.Long() < 1.2)
	is.True(slow.Long() > 1.8 && slow.Long() < 2.4)
}

// Reports that have nothing to do with the times must not decide over the work that an endpoint gets.
func TestMeasuredTimesTakePrecedenceOverFalseReports(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	var honest, deceptive pace.Endpoint
	now := time.Now()
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		percent := uint16(100 + random.IntN(800))
		honest.Report(now, load(percent))
		deceptive.Report(now, load(percent))
		spread := 0.75 + 0.5*random.Float64()
		honest.Measured(now, honest.Factor(now), spread*float64(percent)/100)
		deceptive.Measured(now, float64(percent)/100, spread)
	}
	honest.Report(now, load(900))
	deceptive.Report(now, load(900))
	is.Equal(honest.Factor(now), 9.0)
	is.True(deceptive.Factor(now) < 1.3)
}
