package limit

import (
	"sync"
	"time"
)

// What work costs, in time of a whole core; docs/CAPACITY.md has the runs. They need not be exact: they only tell a
// flood from the usual work before anything is late.
const (
	connectionCost = 80 * time.Microsecond  // connectionCost is that of a caller's connection, accepted and closed.
	requestCost    = 150 * time.Microsecond // requestCost is that of a request that is read and asked for.
	eventCost      = 60 * time.Microsecond  // eventCost is that of an event that passes through, read and written.
	sharedCost     = 25 * time.Microsecond  // sharedCost is that of an event of another router, which comes with others.
	messageCost    = 20 * time.Microsecond  // messageCost is that of a message between routers.
)

const (
	loadWeight = 0.5 // loadWeight is the weight of the newest part of the load; one part alone may be a burst.
	loadBusy   = 0.5 // loadBusy is the part of the processor from which on work is handed over, so that there is room for what is at hand.
	loadFull   = 0.9 // loadFull is the part from which on callers should go elsewhere.
)

// Work counts what a process has done since its start.
type Work struct {
	Connections int64 // Connections counts those of callers, and those that other routers handed over.
	Requests    int64
	Events      int64 // Events counts writes of answers to callers here,
	Shared      int64 // Shared those of answers that other routers made.
	Messages    int64 // Messages counts those between routers, sent or received.

	Coordination time.Duration // Coordination is the time in which decisions were made for others, on a processor that is shared with the rest.
	Processor    time.Duration // Processor is the processor time of the process as the system counts it.
}

// part returns which part of a processor with a share of a core the work took in a span: by its counts, or as the system
// counts it if that is more.
func (w *Work) part(share float64, span time.Duration) float64 {
	counted := time.Duration(w.Connections)*connectionCost + time.Duration(w.Requests)*requestCost +
		time.Duration(w.Events)*eventCost + time.Duration(w.Shared)*sharedCost + time.Duration(w.Messages)*messageCost
	return max(counted.Seconds()/share+w.Coordination.Seconds(), w.Processor.Seconds()/share) / span.Seconds()
}

func (w *Work) since(last *Work) Work {
	return Work{
		Connections: w.Connections - last.Connections,
		Requests:    w.Requests - last.Requests,
		Events:      w.Events - last.Events,
		Shared:      w.Shared - last.Shared,
		Messages:    w.Messages - last.Messages,

		Coordination: w.Coordination - last.Coordination,
		Processor:    w.Processor - last.Processor,
	}
}

// Load estimates which part of its processor a process uses, from what it does. It answers a flood at one router before
// anything there is late. It may be used by many goroutines; nil is never busy.
type Load struct {
	share float64

	mu   sync.Mutex
	last Work
	at   time.Time
	used float64
}

// NewLoad returns a Load of a process that has a part of a core, in cores, or nil if that is not known.
func NewLoad(share float64) *Load {
	if share <= 0 {
		return nil
	}
	return &Load{share: share}
}

// Note takes in what the process has done up to now.
func (l *Load) Note(now time.Time, work Work) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	done, span := work.since(&l.last), now.Sub(l.at)
	first := l.at.IsZero()
	l.last, l.at = work, now
	if first || span <= 0 {
		return
	}
	l.used += loadWeight * (done.part(l.share, span) - l.used)
}

// Used returns the part of its processor that the process uses; it may be above 1 while work waits.
func (l *Load) Used() float64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// IsBusy tells whether others should take new work if they have more room.
func (l *Load) IsBusy() bool { return l.Used() >= loadBusy }

// IsFull tells whether the process has hardly any room left.
func (l *Load) IsFull() bool { return l.Used() >= loadFull }
