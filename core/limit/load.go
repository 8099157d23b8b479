package limit

import (
	"sync"
	"time"
)

// Processor time of each kind of work, on one full core; docs/CAPACITY.md has the measurements. The values need not be exact:
// they only have to distinguish overload from normal load before any work is delayed.
const (
	connectionCost = 80 * time.Microsecond  // connectionCost is the cost of accepting and closing a caller's connection.
	requestCost    = 150 * time.Microsecond // requestCost is the cost of reading a request and asking for its grant.
	eventCost      = 60 * time.Microsecond  // eventCost is the cost of reading an event of a streamed answer from the endpoint and writing it to the caller.
	sharedCost     = 25 * time.Microsecond  // sharedCost is the cost of writing an event to the caller if another router has read it from the endpoint; such events arrive in batches.
	messageCost    = 20 * time.Microsecond  // messageCost is the cost of sending or receiving a message between routers.
)

const (
	loadWeight = 0.5 // loadWeight is the weight of the newest sample in the moving average; one sample alone may be a burst.
	busyLoad   = 0.5 // busyLoad is the load from which on new connections are handed over, which keeps capacity for the requests in flight.
	fullLoad   = 0.9 // fullLoad is the load from which on the load balancer should send callers elsewhere.
)

// Work holds cumulative counts of what a process has done since its start.
type Work struct {
	Connections int64 // Connections is the number of connections from callers, including those that other routers handed over.
	Requests    int64 // Requests is the number of requests read, without those that were rejected early.
	Events      int64 // Events is the number of writes to callers with parts of answers that this router read from endpoints.
	Shared      int64 // Shared is the number of writes to callers with parts of answers that other routers produced.
	Messages    int64 // Messages is the number of messages between routers, sent or received.

	Coordination time.Duration // Coordination is the elapsed time spent on decisions for other routers. It is not divided by the processor share.
	Processor    time.Duration // Processor is the processor time of the process as the operating system measures it.
}

// utilisation returns the fraction of the processor that the work used in a span, given the processor's capacity in cores. It
// is the greater of the estimate from the counts and the processor time that the operating system measured.
func (w *Work) utilisation(capacity float64, span time.Duration) float64 {
	counted := time.Duration(w.Connections)*connectionCost + time.Duration(w.Requests)*requestCost +
		time.Duration(w.Events)*eventCost + time.Duration(w.Shared)*sharedCost + time.Duration(w.Messages)*messageCost
	return max(counted.Seconds()/capacity+w.Coordination.Seconds(), w.Processor.Seconds()/capacity) / span.Seconds()
}

func (w *Work) minus(last *Work) Work {
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

// Load estimates the fraction of its processor that a process uses. Estimating from counts detects overload before any work is
// delayed. It is safe for concurrent use; a nil Load is never busy.
type Load struct {
	capacity float64 // capacity is the processor capacity of the process, in cores.

	mu        sync.Mutex
	last      Work      // last is the work at the last sample.
	sampledAt time.Time // sampledAt is when the last sample was taken; zero before the first.
	used      float64   // used is the moving average of the utilisation.
}

// NewLoad returns a Load of a process with the given processor capacity in cores, or nil if the capacity is unknown (zero).
func NewLoad(capacity float64) *Load {
	if capacity <= 0 {
		return nil
	}
	return &Load{capacity: capacity}
}

// RecordWork records the cumulative work of the process up to now.
func (l *Load) RecordWork(now time.Time, work Work) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	done, span := work.minus(&l.last), now.Sub(l.sampledAt)
	first := l.sampledAt.IsZero()
	l.last, l.sampledAt = work, now
	if first || span <= 0 {
		return
	}
	l.used += loadWeight * (done.utilisation(l.capacity, span) - l.used)
}

// Used returns the fraction of its processor that the process uses. It may exceed 1 while work is queued; it is zero for nil.
func (l *Load) Used() float64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// IsBusy reports whether new connections should be handed over to processes with more spare capacity.
func (l *Load) IsBusy() bool { return l.Used() >= busyLoad }

// IsFull reports whether the process has hardly any spare capacity.
func (l *Load) IsFull() bool { return l.Used() >= fullLoad }
