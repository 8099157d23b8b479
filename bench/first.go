package bench

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	idleRequests = 200
	idlePause    = 300 * time.Millisecond
)

// FirstToken returns the time that an idle fleet adds to the first token, over a
// direct call of the engine from the router's place.
func FirstToken(ctx context.Context, d Deployment, seed uint64) (Percentiles, error) {
	f := d.fleet(Modes()[0], seed)
	if err := f.Start(ctx); err != nil {
		return Percentiles{}, err
	}
	if err := f.Await(ctx); err != nil {
		return Percentiles{}, err
	}
	added := hdrhistogram.New(1, histogramTop, digits)
	direct := FirstTokenTime + 2*d.Delay
	for i := range idleRequests {
		reply := f.Routers[i%len(f.Routers)].Chat(ctx, Teams()[i%len(Teams())].Name, 1)
		_ = added.RecordValue(max(1, (reply.First - direct).Microseconds()))
		time.Sleep(idlePause)
	}
	return percentilesOf(added), f.Close()
}
