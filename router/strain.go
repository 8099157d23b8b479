package router

import (
	"context"
	"math"
	"runtime/metrics"
	"time"

	"ryelug/core/limit"
	"ryelug/io/clock"
	"ryelug/io/pause"
)

const (
	// schedulerWaits is the runtime's histogram of how long goroutines that could run have waited.
	schedulerWaits = "/sched/latencies:seconds"
	// waitPart is the part of the waits that a process's wait is not shorter than; work passes through several
	// goroutines, so most of it meets the longest.
	waitPart = 0.9
)

// watchStrain ticks until ctx ends, and logs when the process begins and ends to be strained.
func (r *Router) watchStrain(ctx context.Context) error {
	strained := false
	usage := r.config.Usage
	if usage.Waited == nil {
		usage.Waited = newWaits().next
	}
	if usage.Processor == nil {
		usage.Processor = clock.Processor
	}
	for tick := 0; pause.For(ctx, r.desk.Tick(time.Now(), usage.Waited())); tick++ {
		if tick%loadTicks == 0 {
			r.noteLoad(time.Now(), usage.Processor)
		}
		if now := r.desk.IsStrained(time.Now()); now != strained {
			strained = now
			r.log.WithField("strained", strained).Warn("Whether this router keeps up with its work has changed.")
		}
	}
	return nil
}

// loadTicks is the number of ticks between two readings of the load, which are 0.1 s apart then.
const loadTicks = 5

// noteLoad reads what this process has done.
func (r *Router) noteLoad(now time.Time, used func() (time.Duration, error)) {
	done := r.callers.Done()
	work := limit.Work{
		Connections: done.Own + done.Taken, Requests: done.Requests, Events: done.Events, Shared: done.Shared,
		Messages: r.coordinator.Messages(), Coordination: r.coordinator.Busy(),
	}
	processor, err := used()
	if err != nil {
		r.log.WithError(err).Debug("The load goes by what is counted here alone.")
	}
	work.Processor = processor
	r.desk.Note(now, work)
}

// late returns how long work waits for the processor, if that is too long.
func (r *Router) late() time.Duration { return r.desk.Late(time.Now()) }

// waits reads how long goroutines wait for the processor.
type waits struct {
	sample []metrics.Sample
	counts []uint64 // counts are those of the histogram at the last reading.
}

func newWaits() *waits {
	return &waits{sample: []metrics.Sample{{Name: schedulerWaits}}}
}

// next returns the wait that most goroutines did not exceed since the last reading; zero if none is known.
func (w *waits) next() time.Duration {
	metrics.Read(w.sample)
	if w.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := w.sample[0].Value.Float64Histogram()
	return time.Duration(w.quantile(histogram) * float64(time.Second))
}

// quantile returns the lower bound of the bucket, in seconds, in which waitPart of the new waits is reached.
func (w *waits) quantile(histogram *metrics.Float64Histogram) float64 {
	if len(w.counts) != len(histogram.Counts) {
		w.counts = make([]uint64, len(histogram.Counts))
	}
	var total uint64
	for i, count := range histogram.Counts {
		w.counts[i], total = count-w.counts[i], total+count-w.counts[i]
	}
	defer copy(w.counts, histogram.Counts)
	var below uint64
	for i, count := range w.counts {
		below += count
		if count > 0 && float64(below) >= waitPart*float64(total) {
			return max(0, math.Min(histogram.Buckets[i], math.MaxInt32))
		}
	}
	return 0
}
