package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"ryelug/core/config"
	"ryelug/standin/endpoint"
)

// readyTime bounds the start of a fleet.
const readyTime = 20 * time.Second

// StartReady starts a fleet and waits until it is ready to serve. Unless conf says
// otherwise, it has two teams of unequal shares and three data centres.
func StartReady(ctx context.Context, conf Config) (*Fleet, error) {
	if conf.Teams == nil {
		conf.Teams = []config.Team{{Name: "kiosks", Share: 4}, {Name: "schools", Share: 1}}
	}
	if conf.DataCentres == nil {
		conf.DataCentres = []string{"dc-a", "dc-b", "dc-c"}
	}
	f := New(conf)
	if err := f.Start(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	wait, done := context.WithTimeout(ctx, readyTime)
	defer done()
	if err := f.Await(wait); err != nil {
		return nil, trace.NewAggregate(err, f.Close())
	}
	return f, nil
}

// String describes the reply.
func (r *Reply) String() string {
	return fmt.Sprintf("request %s: code %d, not run %t, %d events for %d tokens, closed %t",
		r.ID, r.Code, r.NotRun, len(r.Events), r.Tokens, r.Closed)
}

// Broken returns the replies that are not the whole answer to their request.
func Broken(replies []*Reply) []*Reply {
	var broken []*Reply
	for _, reply := range replies {
		if !reply.Whole() {
			broken = append(broken, reply)
		}
	}
	return broken
}

// Excess is an admission above the limit of an endpoint.
type Excess struct {
	endpoint.Excess
	Endpoint string
}

// String describes the excess.
func (e Excess) String() string {
	return fmt.Sprintf("%s at %v: %d in flight, limit %d, in force for %v", e.Endpoint, e.At, e.InFlight, e.Limit, e.Since)
}

// Excesses returns the admissions above what an endpoint bore at that time.
func (f *Fleet) Excesses() []Excess {
	found := f.EngineExcesses(0)
	for _, s := range f.Services {
		found = appendExcesses(found, s.Name(), s.History().Excesses(0))
	}
	return found
}

// EngineExcesses returns the admissions above the limit of an engine that was in force for longer than grace.
func (f *Fleet) EngineExcesses(grace time.Duration) []Excess {
	var found []Excess
	for _, e := range f.Engines {
		found = appendExcesses(found, e.Name(), e.History().Excesses(grace))
	}
	return found
}

func appendExcesses(found []Excess, name string, excesses []endpoint.Excess) []Excess {
	for _, excess := range excesses {
		found = append(found, Excess{Excess: excess, Endpoint: name})
	}
	return found
}
