package endpoint

import (
	"testing"

	"github.com/matryer/is"

	"ryelug/core/cell"
)

// A field of an earlier deployment, which has three figures, or of a faulty endpoint must not activate anything.
func TestOnlyALoadWithFourFiguresCounts(t *testing.T) {
	is := is.New(t)
	is.Equal(parseLoad([]byte("3, 1,6,250")), cell.EndpointLoad{Running: 3, Waiting: 1, Slots: 6, Pace: 250})
	is.Equal(parseLoad([]byte("3,0,6,99.6")), cell.EndpointLoad{Running: 3, Slots: 6, Pace: 100})
	for _, text := range []string{"", "3,1,6", "3,1,6,", "3,1,6,100,7", "3,1,6,-5", "3,1,6,NaN", "3,1,6,1e9", "a,b,c,d"} {
		is.Equal(parseLoad([]byte(text)), cell.EndpointLoad{})
	}
}
