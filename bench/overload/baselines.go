package overload

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"ryelug/core/cell"
)

// policies are the ways to compare, by name.
var policies = map[string]func(*world) policy{
	"ryelug":        newRyelug,
	"uncoordinated": newUncoordinated,
	"former":        newFormer,
	"first_come":    newFirstCome,
	"load":          newLoad,
	"locality":      newLocality,
}

// PolicyNames returns the ways to compare, in order.
func PolicyNames() []string { return slices.Sorted(maps.Keys(policies)) }

// baseline sends each request to one engine, or lets it wait for a slot in the order of arrival.
type baseline struct {
	world    *world
	inFlight []int
	waiting  []*request
	queues   bool // queues tells that requests wait for a slot; otherwise engines have the queue.
	choose   func(r *request) int
}

// newFirstCome lets requests wait for a slot, and takes the engine with the fewest in flight.
func newFirstCome(w *world) policy {
	b := &baseline{world: w, inFlight: make([]int, w.plan.Engines), queues: true}
	b.choose = b.fewest
	return b
}

// newLoad sends each request at once to the engine with the fewest in flight.
func newLoad(w *world) policy {
	b := &baseline{world: w, inFlight: make([]int, w.plan.Engines)}
	b.choose = b.fewest
	return b
}

// newLocality sends requests that share a part to one engine, by a hash.
func newLocality(w *world) policy {
	b := &baseline{world: w, inFlight: make([]int, w.plan.Engines)}
	var names []string
	for at := range w.engines {
		names = append(names, string(engineID(at)))
	}
	ring := rendezvous.New(names, xxhash.Sum64String)
	b.choose = func(r *request) int {
		part := r.prompt.Parts[0].ID
		return engineAt(cell.EndpointID(ring.Lookup(string([]byte{byte(part >> 32), byte(part >> 16), byte(part >> 8), byte(part)}))))
	}
	return b
}

func (b *baseline) fewest(*request) int {
	least := 0
	for at, n := range b.inFlight {
		if n < b.inFlight[least] {
			least = at
		}
	}
	return least
}

func (b *baseline) ask(_ time.Time, r *request) {
	b.waiting = append(b.waiting, r)
	b.send()
}

func (b *baseline) send() {
	slots := b.world.plan.profile().WithDefaults().Slots
	for len(b.waiting) > 0 {
		to := b.choose(b.waiting[0])
		if b.queues && b.inFlight[to] >= slots {
			return
		}
		r := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.inFlight[to]++
		b.world.grant(r, to, -1, 0)
	}
}

func (b *baseline) begun(time.Time, *request) {}

func (b *baseline) ended(_ time.Time, r *request, _ cell.Outcome) {
	b.inFlight[r.engine]--
	b.send()
}

func (b *baseline) tick(time.Time) {}
