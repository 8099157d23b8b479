package size_test

import (
	"context"
	"encoding/json"
	"flag"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"ryelug/bench/size"
	"ryelug/standin/bubble"
)

const seed = 1

var slopes = flag.String("slopes", "", `which slopes to measure: "routers", "teams", "endpoints", "requests", "backlog", "polls", "changes" or "idle", or those of TestProcess`)

// sizes are those of each slope.
var sizes = map[string][]size.Size{
	"routers":   {{3, 16, 10, 1}, {7, 16, 10, 1}, {15, 16, 10, 1}, {30, 16, 10, 1}, {50, 16, 10, 1}},
	"teams":     {{3, 16, 10, 5}, {3, 160, 10, 5}, {3, 1600, 10, 5}, {3, 12000, 10, 5}},
	"endpoints": {{3, 16, 10, 5}, {3, 16, 100, 5}, {3, 16, 400, 5}, {3, 16, 1200, 5}},
	"backlog":   {{3, 12000, 10, 4}, {3, 12000, 10, 40}, {3, 12000, 10, 400}, {3, 12000, 10, 4000}},
	"polls":     {{3, 16, 10, 0}, {3, 16, 100, 0}, {3, 16, 400, 0}},
	"changes":   {{7, 16, 10, 0}, {7, 1600, 10, 0}, {7, 12000, 10, 0}, {30, 12000, 10, 0}},
	"idle":      {{3, 16, 10, 0}, {7, 16, 10, 0}, {15, 16, 10, 0}, {30, 16, 10, 0}, {50, 16, 10, 0}},
	"requests":  {{7, 16, 40, 0}, {7, 16, 40, 1}, {7, 16, 40, 5}, {7, 16, 40, 20}},
}

// TestSlopes measures what a fleet spends by its size; it runs when it is asked for.
func TestSlopes(t *testing.T) {
	if *slopes == "" {
		t.Skip("measures only with -slopes NAME")
	}
	defer bubble.OneProcessor()()
	for _, one := range sizes[*slopes] {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			slope, err := size.Measure(context.Background(), one, seed)
			is.NoErr(err)
			line, err := json.Marshal(slope)
			is.NoErr(err)
			t.Log(string(line))
		})
	}
}
