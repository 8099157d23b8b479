package configuration_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"ryelug/core/config"
	"ryelug/core/spread"
	"ryelug/router/publish"
	standin "ryelug/standin/platform"
)

// outcomes records what operators were told about their changes. Each change is identified by its unique share.
type outcomes struct {
	mu       sync.Mutex
	refused  map[int]bool // refused holds the changes that were refused, which must never be in force.
	possible map[int]bool // possible holds the changes that were accepted or whose outcome is unknown.
}

// runOperator publishes ten changes at random times and records their outcomes. Each gives the first team a unique share.
func (f *fleet) runOperator(l *outcomes, number int, random *rand.Rand) {
	p := publish.New(publish.Config{Platform: f.operator, Environment: environment, Patience: 2 * time.Second})
	for i := range 10 {
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		base, err := p.Read(f.Context())
		if err != nil || base.Document == nil {
			continue
		}
		share := 1000*(number+1) + i
		base.Document.Teams[0].Share = share
		_, err = p.Put(f.Context(), publish.Change{Base: base, Document: base.Document, Description: "test"})
		var unknown *publish.ErrUnknown
		l.mu.Lock()
		if err == nil || errors.As(err, &unknown) {
			l.possible[share] = true
		} else {
			l.refused[share] = true
		}
		l.mu.Unlock()
	}
}

// injectFaults starts and ends random faults of routers and of the platform until stop is closed.
func (f *fleet) injectFaults(random *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1+random.IntN(1500)) * time.Millisecond):
		}
		r := f.routers[random.IntN(len(f.routers))]
		switch random.IntN(6) {
		case 0:
			f.cutPlatform(r, !r.platformCut)
		case 1:
			f.isolate(r, !r.isolated)
		case 2:
			r.stop()
			f.unlink(r)
			f.start(r)
		case 3:
			f.server.SilenceWatches()
		case 4:
			f.server.SetFaults(standin.Faults{LoseAnswers: 1 + random.IntN(3), Slow: time.Duration(random.IntN(1200)) * time.Millisecond})
		case 5:
			f.server.SetFaults(standin.Faults{Down: random.IntN(3) == 0})
		}
	}
}

// checkHistory checks that all routers adopted the same document in each generation,
// and that none adopted a change that was refused.
func (f *fleet) checkHistory(l *outcomes) {
	f.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for generation, shares := range f.sharesByGeneration {
		if len(shares) > 1 {
			f.Errorf("routers adopted different documents in generation %d: %v", generation, shares)
		}
		for share := range shares {
			if l.refused[share] || share != 1 && !l.possible[share] {
				f.Errorf("generation %d holds change %d, which was refused", generation, share)
			}
		}
	}
	f.Logf("%d generations seen, %d changes accepted or unknown, %d refused", len(f.sharesByGeneration), len(l.possible), len(l.refused))
}

// Operators publish changes at once while routers and the platform fail. All routers must
// adopt the same history without refused changes, and reach its last generation.
func TestRacingChanges(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withFleet(t, 7, spread.Config{}, func(f *fleet) {
				f.expectAdopted(f.publishShare(1))
				l := &outcomes{refused: map[int]bool{}, possible: map[int]bool{}}
				stop := make(chan struct{})
				var operators, faults sync.WaitGroup
				for i := range 4 {
					operators.Go(func() { f.runOperator(l, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
				}
				faults.Go(func() { f.injectFaults(rand.New(rand.NewPCG(seed, 99)), stop) })
				operators.Wait()
				close(stop)
				faults.Wait()
				f.server.SetFaults(standin.Faults{})
				for _, r := range f.routers {
					f.cutPlatform(r, false)
					f.isolate(r, false)
				}
				time.Sleep(settleTime)
				l.possible[9999] = true
				f.expectAdopted(f.publishShare(9999))
				f.checkHistory(l)
			})
		})
	}
}

// recordShare records the change that a router adopted with a generation.
func (f *fleet) recordShare(generation uint64, doc *config.Document) {
	if f.sharesByGeneration[generation] == nil {
		f.sharesByGeneration[generation] = map[int]bool{}
	}
	f.sharesByGeneration[generation][doc.Teams[0].Share] = true
}
