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
	// schedulerLatencyMetric is the runtime's histogram of how long goroutines were runnable before they ran.
	schedulerLatencyMetric = "/sched/latencies:seconds"
	// delayQuantile is the quantile of all scheduling delays that is reported as the delay of this process. Work passes
	// through several goroutines, so most of it meets one of the longer delays.
	delayQuantile = 0.9
)

// watchOverload measures the scheduling delay and the load until ctx ends, and logs when the router becomes
// overloaded and when it recovers.
func (r *Router) watchOverload(ctx context.Context) error {
	strained := false
	usage := r.config.Usage
	if usage.Waited == nil {
		usage.Waited = newSchedulingDelays().read
	}
	if usage.Processor == nil {
		usage.Processor = clock.Processor
	}
	for tick := 0; pause.For(ctx, r.admission.Tick(time.Now(), usage.Waited())); tick++ {
		if tick%ticksPerLoadReading == 0 {
			r.recordLoad(time.Now(), usage.Processor)
		}
		if now := r.admission.IsOverloaded(time.Now()); now != strained {
			strained = now
			r.log.WithField("strained", strained).Warn("Whether this router keeps up with its work has changed.")
		}
	}
	return nil
}

// ticksPerLoadReading is the number of ticks between two readings of the load; at 20 ms a tick, 0.1 s.
const ticksPerLoadReading = 5

// recordLoad passes the work and the processor time of this process so far to admission, which estimates the
// utilisation from them.
func (r *Router) recordLoad(now time.Time, processorTime func() (time.Duration, error)) {
	done := r.callers.Done()
	work := limit.Work{
		Connections: done.Own + done.Taken, Requests: done.Requests, Events: done.Events, Shared: done.Shared,
		Messages: r.coordinator.Messages(), Coordination: r.coordinator.Busy(),
	}
	processor, err := processorTime()
	if err != nil {
		r.log.WithError(err).Debug("The processor time could not be read; the load is estimated from the counters alone.")
	}
	work.Processor = processor
	r.admission.RecordWork(now, work)
}

// schedulingDelay implements caller.Config.Late: it returns how long work waits for the processor, or zero while
// that is less than Config.StrainLate.
func (r *Router) schedulingDelay() time.Duration { return r.admission.CurrentDelay(time.Now()) }

// schedulingDelays measures how long goroutines wait for the processor.
type schedulingDelays struct {
	samples    []metrics.Sample // samples has one element, which read fills in.
	lastCounts []uint64         // lastCounts holds the counts of the histogram at the last reading.
}

func newSchedulingDelays() *schedulingDelays {
	return &schedulingDelays{samples: []metrics.Sample{{Name: schedulerLatencyMetric}}}
}

// read returns the scheduling delay since the last call, as the delayQuantile of all delays; zero if the runtime
// does not have the metric.
func (w *schedulingDelays) read() time.Duration {
	metrics.Read(w.samples)
	if w.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := w.samples[0].Value.Float64Histogram()
	return time.Duration(w.quantile(histogram) * float64(time.Second))
}

// quantile returns the lower bound, in seconds, of the bucket that holds the delayQuantile of the delays added
// since the last call; zero if none were added.
func (w *schedulingDelays) quantile(histogram *metrics.Float64Histogram) float64 {
	if len(w.lastCounts) != len(histogram.Counts) {
		w.lastCounts = make([]uint64, len(histogram.Counts))
	}
	var total uint64
	for i, count := range histogram.Counts {
		w.lastCounts[i], total = count-w.lastCounts[i], total+count-w.lastCounts[i]
	}
	defer copy(w.lastCounts, histogram.Counts)
	var below uint64
	for i, count := range w.lastCounts {
		below += count
		if count > 0 && float64(below) >= delayQuantile*float64(total) {
			return max(0, math.Min(histogram.Buckets[i], math.MaxInt32))
		}
	}
	return 0
}
