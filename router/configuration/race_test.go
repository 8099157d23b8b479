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

// ledger notes what operators were told of their changes, by the share that marks each.
type ledger struct {
	mu      sync.Mutex
	refused map[int]bool
	told    map[int]bool // told holds changes that were accepted or whose outcome is unknown.
}

// operate makes changes whose first team has a share that no other change has.
func (f *fleet) operate(l *ledger, number int, random *rand.Rand) {
	p := publish.New(publish.Config{Platform: f.operator, Environment: environment, Patience: 2 * time.Second})
	for i := range 10 {
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		base, err := p.Read(f.Context())
		if err != nil || base.Document == nil {
			continue
		}
		share := 1000*(number+1) + i
		base.Document.Teams[0].Share = share
		_, err = p.Put(f.Context(), publish.Change{Base: base, Document: base.Document, Text: "test"})
		var unknown *publish.ErrUnknown
		l.mu.Lock()
		if err == nil || errors.As(err, &unknown) {
			l.told[share] = true
		} else {
			l.refused[share] = true
		}
		l.mu.Unlock()
	}
}

// disturb makes routers and the platform fail in turn until stop.
func (f *fleet) disturb(random *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1+random.IntN(1500)) * time.Millisecond):
		}
		r := f.routers[random.IntN(len(f.routers))]
		switch random.IntN(6) {
		case 0:
			f.cutPlatform(r, !r.cut)
		case 1:
			f.isolate(r, !r.alone)
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

// check compares what routers adopted with what operators were told.
func (f *fleet) check(l *ledger) {
	f.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for generation, shares := range f.seen {
		if len(shares) > 1 {
			f.Errorf("generation %d is different at different routers: %v", generation, shares)
		}
		for share := range shares {
			if l.refused[share] || share != 1 && !l.told[share] {
				f.Errorf("generation %d holds the change %d, whose operator was told that it is not in force", generation, share)
			}
		}
	}
	f.Logf("%d generations seen, %d changes accepted or unknown, %d refused", len(f.seen), len(l.told), len(l.refused))
}

// In concurrent runs all routers adopt the same history, without a refused change, and reach its end.
func TestRacingChanges(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withFleet(t, 7, spread.Config{}, func(f *fleet) {
				f.everywhere(f.change(1))
				l := &ledger{refused: map[int]bool{}, told: map[int]bool{}}
				stop := make(chan struct{})
				var operators, faults sync.WaitGroup
				for i := range 4 {
					operators.Go(func() { f.operate(l, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
				}
				faults.Go(func() { f.disturb(rand.New(rand.NewPCG(seed, 99)), stop) })
				operators.Wait()
				close(stop)
				faults.Wait()
				f.server.SetFaults(standin.Faults{})
				for _, r := range f.routers {
					f.cutPlatform(r, false)
					f.isolate(r, false)
				}
				time.Sleep(settle)
				l.told[9999] = true
				f.everywhere(f.change(9999))
				f.check(l)
			})
		})
	}
}

// note remembers which change a generation held at a router.
func (f *fleet) note(generation uint64, doc *config.Document) {
	if f.seen[generation] == nil {
		f.seen[generation] = map[int]bool{}
	}
	f.seen[generation][doc.Teams[0].Share] = true
}
