package rollout

import (
	"time"

	"ryelug/core/cell"
)

// Config describes a Trial.
type Config struct {
	Order  Order
	Bounds Bounds
}

// Trial decides, at one dispatcher, which requests the target version of an order gets, and whether the version is good.
type Trial struct {
	order  Order
	bounds Bounds
	counts Counts
}

// New returns the Trial of an order.
func New(config Config) *Trial { return &Trial{order: config.Order, bounds: config.Bounds} }

// Update takes over what is now known of the Trial's order: its state and its newest confirmation.
func (t *Trial) Update(order Order) { t.order = order }

// Pick returns the group that a request of the class should go to now.
func (t *Trial) Pick(now time.Time, class string) Group { return Stable }

// Granted records a grant.
func (t *Trial) Granted(now time.Time, group Group, class string, endpoint cell.EndpointID) {}

// Ended records the end of a request for which Granted was called.
func (t *Trial) Ended(now time.Time, sample Sample) {}

// Step advances the time, and must be called at least every 100 ms. It returns a verdict that the judge must have written to
// the store, and whether there is one. It returns the verdict again from time to time until Update shows a final state.
func (t *Trial) Step(now time.Time, capacity Capacity, isJudge bool) (Verdict, bool) {
	return Verdict{}, false
}

// Status returns the state of the Trial.
func (t *Trial) Status() Status { return Status{Order: t.order, State: t.order.State, Counts: t.counts} }
