package placing

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/rollout"
)

// selection restricts the endpoints for a request while the cell's traffic is moved to another version. The zero value
// restricts nothing.
type selection struct {
	group rollout.Group // group is the group whose endpoints get requests; zero means all.
	only  int32         // only is the index of the only endpoint that gets requests, plus one; zero means all of the group.
}

// admits reports whether the endpoint may get new requests under the present selection.
func (t *Table) admits(at *endpoint) bool {
	if t.selection.group == 0 {
		return at.open
	}
	isOnly := t.selection.only == 0 || at == &t.endpoints[t.selection.only-1]
	return at.open && at.group == t.selection.group && !at.isFaulty && isOnly
}

// SetTarget assigns the endpoints to the groups of a roll-out to the target version.
func (t *Table) SetTarget(target string) {
	t.unused = 0
	for i := range t.endpoints {
		at := &t.endpoints[i]
		at.group, at.isFaulty = rollout.Stable, false
		if at.version == target {
			at.group = rollout.Target
		}
	}
}

// SetFaulty updates which endpoints the Trial leaves out, and the group that it does not use.
func (t *Table) SetFaulty(trial *rollout.Trial) {
	t.unused = trial.Unused()
	for i := range t.endpoints {
		if at := &t.endpoints[i]; at.group == rollout.Target {
			at.isFaulty = trial.IsFaulty(at.id)
		}
	}
}

// GroupOf returns the group of the endpoint at an index.
func (t *Table) GroupOf(index int32) rollout.Group { return t.endpoints[index].group }

// HasOpen reports whether any endpoint of the group is open.
func (t *Table) HasOpen(group rollout.Group) bool {
	for i := range t.endpoints {
		if t.endpoints[i].open && t.endpoints[i].group == group {
			return true
		}
	}
	return false
}

// ChooseIn is Choose among the endpoints of one group of a roll-out; among those of the group that are in the focus of the Trial, if
// there are any.
func (t *Table) ChooseIn(now time.Time, request *Request, group rollout.Group, trial *rollout.Trial) Choice {
	t.selection = selection{group: group}
	if focus := trial.Focus(); group == rollout.Target && focus != "" {
		t.selection.only = t.Find(focus) + 1
	}
	choice := t.Choose(now, request)
	t.selection = selection{}
	return choice
}

// Capacity sums up the endpoints of both groups. Its slice is valid until the next call.
func (t *Table) Capacity(now time.Time) rollout.Capacity {
	sum := rollout.Capacity{Targets: t.offers[:0]}
	for i := range t.endpoints {
		at := &t.endpoints[i]
		switch {
		case at.group == rollout.Stable:
			sum.StableRunning += at.running
			if at.open {
				sum.StableEndpoints++
				sum.StableSlots += at.slots
			}
		case at.open && !at.isFaulty:
			sum.Targets = append(sum.Targets, rollout.Offer{Endpoint: at.id, Slots: at.slots})
			if !at.cold.IsCold(now) && !at.health.IsFailing(now) {
				sum.ReadySlots += at.slots
			}
		}
	}
	t.offers = sum.Targets
	return sum
}

// Sample returns what the roll-out compares of a request that has ended, as far as the endpoint and the placement tell it. It must be
// called before Ended.
func (t *Table) Sample(now time.Time, placed *Placement) rollout.Sample {
	at := &t.endpoints[placed.EndpointIndex]
	return rollout.Sample{
		Group: at.group, Endpoint: at.id, Cold: at.cold.IsCold(now), Running: t.Running(placed), Slots: at.slots,
	}
}

// Expected returns a time in proportion to which answers of the same class are compared: the predicted time to the first token of an
// engine, or for a call by how much it takes longer because it waits for a slot.
func (p *Placement) Expected(grant *cell.Grant) time.Duration {
	if grant.Predicted > 0 {
		return grant.Predicted
	}
	return time.Duration(p.waitFactor * float64(time.Second))
}

// CommonVersion returns the version of most open endpoints, and whether there are other versions.
func CommonVersion(endpoints []dispatch.EndpointPolicy) (version string, isMixed bool) {
	counts := make(map[string]int)
	for i := range endpoints {
		if !endpoints[i].Closed {
			counts[endpoints[i].Version]++
		}
	}
	for one, count := range counts {
		if count > counts[version] || count == counts[version] && one < version {
			version = one
		}
	}
	return version, len(counts) > 1
}

// EndRollout ends the roll-out; every open endpoint is in use again.
func (t *Table) EndRollout() { t.unused = 0 }

// isInUse reports whether the endpoint is open and gets more than the small share of a version on trial, so that its capacity counts.
func (t *Table) isInUse(at *endpoint) bool {
	return at.open && (t.unused == 0 || at.group != t.unused)
}
