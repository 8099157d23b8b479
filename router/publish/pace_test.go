package publish_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/config"
	"ryelug/io/platform"
	"ryelug/router/publish"
)

const (
	teamCount = 12000

	// One command may use half of the platform's capacity, which is 2,000 reads and 300 writes a second.
	maxReadRate  = 1000
	maxWriteRate = 150
)

// callRecorder records the times at which objects are read and created.
type callRecorder struct {
	publish.Platform
	mu            sync.Mutex
	reads, writes []time.Time
}

func (c *callRecorder) record(times *[]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*times = append(*times, time.Now())
}

// Get implements publish.Platform; it records the call as a read.
func (c *callRecorder) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	c.record(&c.reads)
	return c.Platform.Get(ctx, kind, name)
}

// Create implements publish.Platform; it records the call as a write.
func (c *callRecorder) Create(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	c.record(&c.writes)
	return c.Platform.Create(ctx, kind, o)
}

// peakRate returns the largest number of calls within one second; times must be sorted.
func peakRate(times []time.Time) int {
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Publishing and reading a document of 12,000 teams must not use more than half of the platform's capacity.
func TestLargeDocumentLeavesThePlatformToOthers(t *testing.T) {
	withFixture(t, func(s *fixture) {
		is := is.New(s.T)
		doc := document(1)
		for i := range teamCount {
			doc.Teams = append(doc.Teams, config.Team{Name: fmt.Sprintf("many-%05d", i), Share: 1})
		}
		calls := &callRecorder{Platform: s.client()}
		p := s.publisher(calls, keptRoots)
		_, err := p.Put(s.Context(), publish.Change{Document: doc, Description: "test"})
		is.NoErr(err)
		_, err = p.Read(s.Context())
		is.NoErr(err)
		s.Logf("%d reads, at most %d a second; %d writes, at most %d a second",
			len(calls.reads), peakRate(calls.reads), len(calls.writes), peakRate(calls.writes))
		is.True(peakRate(calls.reads) <= maxReadRate)
		is.True(peakRate(calls.writes) <= maxWriteRate)
	})
}
