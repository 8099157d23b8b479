package crossing

import "time"

// Cause says why a request went to another data centre.
type Cause uint8

// The causes.
const (
	OwnLate   Cause = iota // OwnLate: the own data centre would answer after the objective, the other one in time.
	Gains                  // Gains: the time gained is worth more than the bytes.
	Settles                // Settles: the share that leaves falls gradually.
	OwnClosed              // OwnClosed: no endpoint of the own data centre is open.

	causes = iota
)

var causeNames = [causes]string{OwnLate: "own_late", Gains: "gains", Settles: "settles", OwnClosed: "own_closed"}

// String returns the name of the cause in metrics and logs.
func (c Cause) String() string { return causeNames[c] }

// Amount counts requests and their bytes.
type Amount struct {
	Requests int64 `json:"requests"`
	Bytes    int64 `json:"bytes"` // Bytes is the expected size of the requests with their answers.
}

func (a *Amount) add(bytes int) {
	a.Requests++
	a.Bytes += int64(bytes)
}

// maxSpills limits the spills kept until TakeSpills.
const maxSpills = 32

// Spill is a request that went to another data centre, with the inputs of the decision.
type Spill struct {
	From, To       string
	Cause          Cause
	Share          float64       // Share is the part of the demand that leaves.
	InOwn, InOther time.Duration // InOwn and InOther are the predicted times to the answer in either data centre.
	Left           time.Duration // Left is the time until the objective.
	Waited         time.Duration // Waited is how long the request had waited.
	Bytes          int           // Bytes is the expected size of the request with its answer.
	OwnPressure    float64       // OwnPressure is the part of the own data centre's slots that is in use.
	OtherPressure  float64       // OtherPressure is that of the other one.
	Delay          time.Duration // Delay is that of the path.
	DelayAge       time.Duration // DelayAge is the time since the last sample of Delay.
}

func (c *Control) recordSpill(now time.Time, from, to Site, trip *Trip, decision *Decision) {
	if len(c.spills) == maxSpills {
		return
	}
	own, other, along := &c.sites[from], &c.sites[to], &c.sites[from].paths[to]
	c.spills = append(c.spills, Spill{
		From: own.name, To: other.name, Cause: decision.Cause, Share: own.share, InOwn: decision.InOwn, InOther: decision.InOther,
		Left: trip.Left, Waited: trip.Waited, Bytes: decision.Bytes, OwnPressure: own.load.pressure(), OtherPressure: other.load.pressure(),
		Delay: along.delay, DelayAge: now.Sub(along.sampled),
	})
}

// TakeSpills appends the first spills since the last call, at most maxSpills, to dst and returns the result.
func (c *Control) TakeSpills(dst []Spill) []Spill {
	dst = append(dst, c.spills...)
	c.spills = c.spills[:0]
	return dst
}

// PathState is the state of the traffic from one data centre to another, for metrics.
type PathState struct {
	From, To string
	Share    float64 // Share is the part of From's demand that leaves it, to any data centre.
	Delay    time.Duration
	Failures float64           // Failures is the recent part of the attempts that failed.
	IsProbed bool              // IsProbed is true while the path gets single attempts only, which show whether it has recovered.
	ByCause  map[string]Amount // ByCause holds the counts since the start by the names of the causes.
}

// Paths returns the state of the paths that requests have taken.
func (c *Control) Paths() []PathState {
	var states []PathState
	for i := range c.sites {
		for j := range c.sites[i].paths {
			along := &c.sites[i].paths[j]
			if along.counts == [causes]Amount{} {
				continue
			}
			state := PathState{
				From: c.sites[i].name, To: c.sites[j].name, Share: c.sites[i].share, Delay: along.delay, Failures: along.failures, IsProbed: along.isProbed,
				ByCause: make(map[string]Amount),
			}
			for cause, amount := range along.counts {
				if amount != (Amount{}) {
					state.ByCause[Cause(cause).String()] = amount
				}
			}
			states = append(states, state)
		}
	}
	return states
}
