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
	minLatency        = 1 // minLatency is in milliseconds, as is maxLatency.
	maxLatency        = int64(time.Hour / time.Millisecond)
	significantDigits = 2 // significantDigits is the precision of a recorded value, in decimal digits.
)

// latencies holds latency histograms per pool, in milliseconds. It is safe for concurrent use.
type latencies struct {
	mu    sync.Mutex
	first map[cell.ID]*hdrhistogram.Histogram // first holds the times to the first event of streams.
	whole map[cell.ID]*hdrhistogram.Histogram // whole holds the times to the end of the answer.
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
		histogram = hdrhistogram.New(minLatency, maxLatency, significantDigits)
		in[pool] = histogram
	}
	_ = histogram.RecordValue(min(maxLatency, max(minLatency, latency.Milliseconds()))) // RecordValue fails only for values out of range, and this one is clamped.
}

// quantiles is the JSON summary of a histogram: the number of values, quantiles and the maximum, in milliseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P95   int64 `json:"p95_ms"`
	P99   int64 `json:"p99_ms"`
	Most  int64 `json:"most_ms"`
}

// latencyVar is the JSON summary of the latencies of a pool.
type latencyVar struct {
	First quantiles `json:"first"` // First is the time to the first event of a stream.
	Whole quantiles `json:"whole"` // Whole is the time to the end of the answer.
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
