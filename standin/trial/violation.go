package trial

import (
	"fmt"
	"math"
	"strings"
)

// Figures describes what was measured, with the bounds, one line each.
func (o *Outcome) Figures() string {
	figures := []string{
		fmt.Sprintf("most over a warm limit: %d", o.OverWarm),
		fmt.Sprintf("%d answers, longest pause of the fleet %v from %v on, longest waits %v", o.Answers, o.Pause, o.PauseSince, o.Waits),
		fmt.Sprintf("gap of service by share %.0f, bound %.0f", o.Gap, o.GapBound),
	}
	if o.Frozen != nil {
		figures = append(figures, fmt.Sprintf("%d requests were at a frozen router, %d of them got their whole answer", o.Frozen.Requests, o.Frozen.Whole))
	}
	return strings.Join(figures, "\n")
}

// Violations says what did not hold that must hold whatever fails.
func (o *Outcome) Violations() []string {
	found := o.limitViolations()
	for _, r := range o.Broken {
		found = append(found, fmt.Sprintf("%v, sent at %v", r, r.Sent.Sub(o.Began)))
	}
	found = append(found, o.pauseViolations()...)
	if math.Abs(o.Gap) > o.GapBound {
		found = append(found, fmt.Sprintf("the gap is %.0f, over its bound", o.Gap))
	}
	if o.Frozen != nil {
		found = append(found, o.Frozen.violations()...)
	}
	return found
}

func (o *Outcome) limitViolations() []string {
	var found []string
	for _, excess := range o.Excesses {
		found = append(found, excess.String())
	}
	for _, start := range o.Starts {
		found = append(found, fmt.Sprintf("%s: %d new requests in flight at %v, limit %d",
			start.Endpoint, start.InFlight, start.At.Sub(o.Began), start.Limit))
	}
	return found
}

func (o *Outcome) pauseViolations() []string {
	if o.PauseBound == 0 {
		return nil
	}
	var found []string
	if o.Pause >= o.PauseBound {
		found = append(found, fmt.Sprintf("the whole fleet paused for %v", o.Pause))
	}
	for team, wait := range o.Waits {
		if wait >= o.WaitBound {
			found = append(found, fmt.Sprintf("a request of %s waited %v", team, wait))
		}
	}
	return found
}

func (f *Frozen) violations() []string {
	var found []string
	for _, r := range f.Strange {
		found = append(found, r.String())
	}
	for _, r := range f.Misrun {
		found = append(found, fmt.Sprintf("%v, ran %d times", r, f.Runs[r.ID]))
	}
	if f.Requests == 0 {
		found = append(found, "no request was at a frozen router")
	}
	return found
}
