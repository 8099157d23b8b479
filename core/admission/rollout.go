package admission

import "ryelug/core/rollout"

// TakeVerdicts returns the verdicts on the cell's roll-out since the last call, which must be written to the store. A verdict is
// returned again from time to time until the policy's order has a final state.
func (d *Dispatcher) TakeVerdicts() []rollout.Verdict {
	taken := d.verdicts
	d.verdicts = nil
	return taken
}

// Rollout returns the state of the cell's roll-out, and false if there is none.
func (d *Dispatcher) Rollout() (rollout.Status, bool) { return rollout.Status{}, false }
