package process

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ryelug/core/cell"
	"ryelug/router/request"
)

// Range and precision of the latency histograms.
const (
	leastLatency = 1 // ms
	mostLatency  = int64(time.Hour / time.Millisecond)
	digits       = 2 // significant figures
)

// latencies holds histograms of the latencies of each pool, in milliseconds.
type latencies struct {
	mu    sync.Mutex
	first map[cell.ID]*hdrhistogram.Histogram
	whole map[cell.ID]*hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{first: make(map[cell.ID]*hdrhistogram.Histogram), whole: make(map[cell.ID]*hdrhistogram.Histogram)}
}

func (l *latencies) add(latency request.Latency) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if latency.First > 0 {
		record(l.first, latency.Pool, latency.First)
	}
	record(l.whole, latency.Pool, latency.Whole)
}

func record(in map[cell.ID]*hdrhistogram.Histogram, pool cell.ID, latency time.Duration) {
	histogram, ok := in[pool]
	if !ok {
		histogram = hdrhistogram.New(leastLatency, mostLatency, digits)
		in[pool] = histogram
	}
	_ = histogram.RecordValue(min(mostLatency, max(leastLatency, latency.Milliseconds()))) // The value is in range.
}

// quantiles is what operators read of a histogram, in milliseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P95   int64 `json:"p95_ms"`
	P99   int64 `json:"p99_ms"`
	Most  int64 `json:"most_ms"`
}

// latencyVar shows the latencies of a pool.
type latencyVar struct {
	First quantiles `json:"first"` // First is up to the first event of a stream.
	Whole quantiles `json:"whole"`
}

func (l *latencies) read() map[cell.ID]latencyVar {
	l.mu.Lock()
	defer l.mu.Unlock()
	read := make(map[cell.ID]latencyVar, len(l.whole))
	for pool, whole := range l.whole {
		read[pool] = latencyVar{First: quantilesOf(l.first[pool]), Whole: quantilesOf(whole)}
	}
	return read
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	if h == nil {
		return quantiles{}
	}
	return quantiles{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Most: h.Max(),
	}
}
