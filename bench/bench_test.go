package bench_test

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/bench"
	"ryelug/bench/report"
	"ryelug/standin/bubble"
)

var directory = flag.String("report", "", "directory for the measures of both deployments as JSON and SVG")

// run runs one deployment in one mode in virtual time.
func run(t *testing.T, d bench.Deployment, mode bench.Mode) (measured bench.Measures) {
	t.Helper()
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		done, err := bench.Run(context.Background(), d, mode, bench.DefaultScript(), seed)
		is.NoErr(err)
		measured = done.Measure()
		if *directory != "" {
			plot, err := done.Plot()
			is.NoErr(err)
			is.NoErr(report.WritePlot(*directory, d.Name+"-"+mode.Name+".svg", plot))
		}
	})
	return measured
}

// TestMeasures runs the router code and the baselines, and holds the router code to the derived bounds.
func TestMeasures(t *testing.T) {
	deployments := bench.Deployments()
	if *directory == "" {
		deployments = deployments[:1]
	}
	if *directory != "" {
		is.New(t).NoErr(os.MkdirAll(*directory, 0o755))
	}
	var all []bench.Measures
	for _, d := range deployments {
		var own, firstCome bench.Measures
		for _, mode := range bench.Modes() {
			measured := run(t, d, mode)
			all = append(all, measured)
			switch mode.Name {
			case "ryelug":
				own = measured
			case "first_come":
				firstCome = measured
			}
		}
		t.Run(d.Name, func(t *testing.T) { checkBounds(t, own, firstCome) })
	}
	report.WriteTable(os.Stdout, all)
	if *directory != "" {
		is.New(t).NoErr(report.WriteJSON(*directory, "measures.json", all))
	}
}

func checkBounds(t *testing.T, own, firstCome bench.Measures) {
	t.Helper()
	is := is.New(t)
	is.True(own.GapMost <= own.GapBound)
	is.True(firstCome.GapMost > own.GapBound) // The load tells fair service from none.
	is.True(own.Utilisation >= own.UtilisationBound)
	is.True(own.Control.BytesMean <= bench.ControlLimit)
	is.True(own.Control.BytesMost <= own.BusiestBound)
	is.Equal(len(own.LeaveRefusals), 0)
	is.Equal(own.LeaveCut, 0)
	is.True(own.LastWorkAfter <= (3 * time.Second).Seconds())
	is.True(own.FullUseAfter >= 0 && own.FullUseAfter <= own.FullUseBound)
	is.Equal(own.ColdExcess, 0)
}
