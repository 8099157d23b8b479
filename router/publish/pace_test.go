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
	targetTeams = 12000

	// A command leaves half of what the platform takes to others: half of 2,000 reads and of 300 writes a second.
	mostReads  = 1000
	mostWrites = 150
)

// timed notes when calls are made.
type timed struct {
	publish.Platform
	mu            sync.Mutex
	reads, writes []time.Time
}

func (c *timed) note(times *[]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*times = append(*times, time.Now())
}

// Get implements publish.Platform.
func (c *timed) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	c.note(&c.reads)
	return c.Platform.Get(ctx, kind, name)
}

// Create implements publish.Platform.
func (c *timed) Create(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	c.note(&c.writes)
	return c.Platform.Create(ctx, kind, o)
}

// mostInSecond returns the largest number of calls within one second.
func mostInSecond(times []time.Time) int {
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestLargeDocumentLeavesThePlatformToOthers(t *testing.T) {
	withSite(t, func(s *site) {
		is := is.New(s.T)
		doc := document(1)
		for i := range targetTeams {
			doc.Teams = append(doc.Teams, config.Team{Name: fmt.Sprintf("many-%05d", i), Share: 1})
		}
		calls := &timed{Platform: s.client()}
		p := s.publisher(calls, keep)
		_, err := p.Put(s.Context(), publish.Change{Document: doc, Text: "test"})
		is.NoErr(err)
		_, err = p.Read(s.Context())
		is.NoErr(err)
		s.Logf("%d reads, at most %d a second; %d writes, at most %d a second",
			len(calls.reads), mostInSecond(calls.reads), len(calls.writes), mostInSecond(calls.writes))
		is.True(mostInSecond(calls.reads) <= mostReads)
		is.True(mostInSecond(calls.writes) <= mostWrites)
	})
}
