package endpoint

import (
	"bytes"
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"ryelug/core/cell"
)

// load returns the load in the header of an answer. It is zero unless the field has all figures, of which the fourth is the
// pace: endpoints that share no machine with others send three.
func (d *Dialect) load(resp *fasthttp.Response) cell.EndpointLoad {
	if d.Load == "" {
		return cell.EndpointLoad{}
	}
	return parseLoad(resp.Header.Peek(d.Load))
}

// parseLoad reads four numbers that are separated by commas; any others give no load.
func parseLoad(text []byte) cell.EndpointLoad {
	var figures [4]uint16
	for i := range figures {
		figure, rest, isFollowed := bytes.Cut(text, []byte(","))
		number, err := strconv.ParseFloat(string(bytes.TrimSpace(figure)), 64)
		if err != nil || !(number >= 0 && number <= math.MaxUint16) || isFollowed == (i == len(figures)-1) {
			return cell.EndpointLoad{}
		}
		figures[i], text = uint16(math.Round(number)), rest
	}
	return cell.EndpointLoad{Running: figures[0], Waiting: figures[1], Slots: figures[2], Pace: figures[3]}
}
