package operator

import (
	"expvar"
	"fmt"
	"io"

	"ryelug/core/result"
)

// Group names a set of counters that operators read together.
type Group string

// Groups of counters; docs/OPERATING.md lists them.
const (
	Requests Group = "requests" // Requests counts finished requests by the name of their result code.
	Refusals Group = "refusals" // Refusals counts refused and failed requests by the name of their result code.
	Retries  Group = "retries"  // Retries counts attempts after the first by reason.
	Checks   Group = "checks"   // Checks counts the answers to readiness checks, CheckReady or CheckNotReady.
)

// Groups returns all groups of counters.
func Groups() []Group {
	return []Group{Requests, Refusals, Retries, Checks}
}

// Names of the counters of Checks.
const (
	CheckReady    = "ready"
	CheckNotReady = "not_ready"
)

// Vars holds the variables of one router; unlike the global ones of expvar, several routers may live in a process.
type Vars struct {
	groups map[Group]*expvar.Map
	all    *expvar.Map
}

// NewVars returns variables with all counters at zero; a counter for each result code of a refusal is there from the start.
func NewVars() *Vars {
	vars := &Vars{groups: map[Group]*expvar.Map{}, all: new(expvar.Map).Init()}
	for _, group := range Groups() {
		counters := new(expvar.Map).Init()
		vars.groups[group] = counters
		vars.all.Set(string(group), counters)
	}
	for _, code := range result.Codes() {
		info, _ := result.Lookup(code)
		if info.Status != 0 && code != result.OK {
			vars.Add(Refusals, info.Name, 0)
		}
	}
	return vars
}

// Add adds to the counter with this name in a group.
func (v *Vars) Add(group Group, name string, delta int64) {
	if counters, ok := v.groups[group]; ok {
		counters.Add(name, delta)
	}
}

// Count returns the counter with this name in a group.
func (v *Vars) Count(group Group, name string) int64 {
	counters, ok := v.groups[group]
	if !ok {
		return 0
	}
	if counter, ok := counters.Get(name).(*expvar.Int); ok {
		return counter.Value()
	}
	return 0
}

// Finished counts a request by its result code, and as a refusal unless it was answered.
func (v *Vars) Finished(code result.Code) {
	info, ok := result.Lookup(code)
	if !ok {
		info, _ = result.Lookup(result.InternalFailure)
	}
	v.Add(Requests, info.Name, 1)
	if code != result.OK {
		v.Add(Refusals, info.Name, 1)
	}
}

// Gauge publishes what read returns, as JSON, at each reading; read must be safe to call from any goroutine.
func (v *Vars) Gauge(name string, read func() any) {
	v.all.Set(name, expvar.Func(read))
}

// write writes all variables, those of the process included, as one JSON object.
func (v *Vars) write(out io.Writer) {
	fmt.Fprint(out, "{")
	first := true
	each := func(variable expvar.KeyValue) {
		if !first {
			fmt.Fprint(out, ",")
		}
		first = false
		fmt.Fprintf(out, "\n%q: %s", variable.Key, variable.Value)
	}
	v.all.Do(each)
	expvar.Do(each)
	fmt.Fprint(out, "\n}\n")
}
