package spread_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/spread"
)

// script steps a machine through time and notes what it asks for.
type script struct {
	machine *spread.Machine
	now     time.Time
	asked   []string
	adopted uint64
}

func newScript() *script {
	s := &script{now: time.Unix(0, 0)}
	s.machine = spread.New(spread.Config{Self: "a/1", DataCentre: "dc", Environment: "trial"}, s.now)
	members := &spread.Members{}
	for _, host := range []cell.HostID{"a", "b", "c", "d", "e"} {
		members.Members = append(members.Members, spread.Member{Host: host, DataCentre: "dc"})
	}
	s.step(members)
	for _, router := range []cell.RouterID{"b/1", "c/1", "d/1", "e/1"} {
		s.step(&spread.PeerUp{Router: router})
	}
	return s
}

func (s *script) step(event spread.Event) {
	for _, action := range s.machine.Step(s.now, event) {
		switch a := action.(type) {
		case *spread.SendAsk:
			s.asked = append(s.asked, fmt.Sprintf("%s %d", a.To, len(a.Hashes)))
		case *spread.ReadRoot:
			s.asked = append(s.asked, "platform root")
		case *spread.ReadParts:
			s.asked = append(s.asked, fmt.Sprintf("platform %d", len(a.Hashes)))
		case *spread.Adopt:
			s.adopted = a.Root.Generation
		}
	}
}

// wait lets time pass in ticks.
func (s *script) wait(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tickEvery)
		s.step(&spread.Tick{})
	}
}

// give answers with all parts twice: the leaves are asked for when the index is there.
func (s *script) give(parts map[string][]byte, answer func(hash string) spread.Event) {
	for range 2 {
		for hash := range parts {
			s.step(answer(hash))
		}
	}
}

// generation returns a root and the parts of a document with the given share.
func generation(number uint64, share int) ([]byte, map[string][]byte) {
	root, parts := config.Split(&config.Document{Environment: "trial", Teams: []config.Team{{Name: "kiosks", Share: share}}})
	root.Generation = number
	return root.Encode(), parts
}

// A router asks another peer and then the platform if the first one does not answer.
func TestAsksElsewhere(t *testing.T) {
	is := is.New(t)
	s := newScript()
	s.wait(time.Second)
	is.True(!s.machine.Watching())
	is.Equal(s.asked, []string{"platform root", "platform root"}) // A read that hangs gets company.
	s.step(&spread.RootRead{})
	s.step(&spread.RootRead{})
	s.asked = nil
	s.step(&spread.News{From: "b/1", Generation: 5})
	s.step(&spread.News{From: "c/1", Generation: 5})
	s.wait(2 * time.Second)
	is.True(len(s.asked) > 2)
	is.Equal(s.asked[:3], []string{"b/1 0", "c/1 0", "platform root"})
	root, parts := generation(5, 1)
	s.asked = nil
	s.step(&spread.RootRead{Root: root})
	s.wait(time.Second)
	ofParts := slices.DeleteFunc(s.asked, func(what string) bool { return what == "platform root" })
	is.Equal(ofParts, []string{"platform 1", "b/1 1", "c/1 1"}) // The platform is not asked again while it has not answered.
	s.give(parts, func(hash string) spread.Event { return &spread.Part{From: "c/1", Hash: hash, Data: parts[hash]} })
	is.Equal(s.adopted, uint64(5))
}

// A generation that the platform can't complete does not block a lower one that peers have.
func TestGivesWay(t *testing.T) {
	is := is.New(t)
	s := newScript()
	high, highParts := generation(9, 9)
	low, lowParts := generation(8, 8)
	s.step(&spread.RootRead{Root: high})
	for hash := range highParts {
		s.step(&spread.PartFailed{Hash: hash, Missing: true})
	}
	s.step(&spread.News{From: "b/1", Generation: 8})
	s.step(&spread.News{From: "b/1", Generation: 8, Root: low})
	s.give(lowParts, func(hash string) spread.Event { return &spread.Part{From: "b/1", Hash: hash, Data: lowParts[hash]} })
	is.Equal(s.adopted, uint64(8))
	s.wait(2 * time.Second)
	s.give(highParts, func(hash string) spread.Event { return &spread.PartRead{Hash: hash, Data: highParts[hash]} })
	is.Equal(s.adopted, uint64(9)) // The parts have come after all.
}
