package bench

import (
	"context"
	"math"
	"syscall"
	"time"

	"ryelug/standin/fleet"
)

// Control is the traffic between routers and to the platform.
type Control struct {
	Span          time.Duration // Span is zero in a reading, and the time between two readings in a difference.
	Bytes         []uint64      // Bytes are those that each router sent to and got from other routers.
	Messages      uint64
	ByKind        map[string]uint64 // ByKind is the bytes that all routers sent, by kind of message.
	PlatformCalls int64
	Processor     time.Duration // Processor is the processor time of the whole process.
	at            time.Time
}

// ReadControl returns the traffic of a fleet so far.
func ReadControl(ctx context.Context, f *fleet.Fleet) Control {
	read := Control{ByKind: map[string]uint64{}, at: time.Now(), PlatformCalls: f.Platform.Calls().Total(), Processor: processorTime()}
	for _, m := range f.Routers {
		view, _ := m.Router().View(ctx)
		var bytes uint64
		for kind, amount := range view.Peers.Out {
			read.ByKind[kind] += amount.Bytes
			bytes += amount.Bytes
			read.Messages += amount.Messages
		}
		for _, amount := range view.Peers.In {
			bytes += amount.Bytes
		}
		read.Bytes = append(read.Bytes, bytes)
	}
	return read
}

// Since returns the difference to an earlier reading.
func (c Control) Since(before Control) Control {
	diff := Control{
		ByKind:        map[string]uint64{},
		Span:          c.at.Sub(before.at),
		Messages:      c.Messages - before.Messages,
		PlatformCalls: c.PlatformCalls - before.PlatformCalls,
		Processor:     c.Processor - before.Processor,
	}
	for i := range c.Bytes {
		diff.Bytes = append(diff.Bytes, c.Bytes[i]-before.Bytes[i])
	}
	for kind, bytes := range c.ByKind {
		diff.ByKind[kind] = bytes - before.ByKind[kind]
	}
	return diff
}

// Rates are a Control by node and second.
type Rates struct {
	BytesMean     float64 `json:"bytes_mean"`
	BytesMost     float64 `json:"bytes_most"` // BytesMost is that of the busiest node.
	Messages      float64 `json:"messages"`
	PlatformCalls float64 `json:"platform_calls"` // PlatformCalls are those of the whole fleet.

	SentByKind map[string]float64 `json:"sent_by_kind"` // SentByKind is the bytes that a node sends, by kind of message.
}

// Rates returns the traffic by node and second.
func (c Control) Rates() Rates {
	seconds := c.Span.Seconds()
	var sum, most uint64
	for _, bytes := range c.Bytes {
		sum += bytes
		most = max(most, bytes)
	}
	nodes := float64(len(c.Bytes))
	byKind := map[string]float64{}
	for kind, bytes := range c.ByKind {
		byKind[kind] = math.Round(float64(bytes) / nodes / seconds)
	}
	return Rates{
		SentByKind:    byKind,
		BytesMean:     float64(sum) / nodes / seconds,
		BytesMost:     float64(most) / seconds,
		Messages:      float64(c.Messages) / nodes / seconds,
		PlatformCalls: float64(c.PlatformCalls) / seconds,
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// ProcessorRate returns the milliseconds of processor time a node and second; the stand-ins' time is in it.
func (c Control) ProcessorRate() float64 {
	return float64(c.Processor.Microseconds()) / 1000 / float64(len(c.Bytes)) / c.Span.Seconds()
}
