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

// scriptedMachine drives one machine step by step and records its requests.
type scriptedMachine struct {
	machine  *spread.Machine
	now      time.Time
	requests []string // requests lists what the machine asked for: its source, then the number of parts (0 or "root" for the root).
	adopted  uint64   // adopted is the generation in force.
}

// newScriptedMachine returns a router with four linked peers in its data centre, none of which has a configuration.
func newScriptedMachine() *scriptedMachine {
	s := &scriptedMachine{now: time.Unix(0, 0)}
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

// step passes one event to the machine and records what it asks for or adopts.
func (s *scriptedMachine) step(event spread.Event) {
	for _, action := range s.machine.Step(s.now, event) {
		switch a := action.(type) {
		case *spread.SendPartRequest:
			s.requests = append(s.requests, fmt.Sprintf("%s %d", a.To, len(a.Hashes)))
		case *spread.ReadRoot:
			s.requests = append(s.requests, "platform root")
		case *spread.ReadParts:
			s.requests = append(s.requests, fmt.Sprintf("platform %d", len(a.Hashes)))
		case *spread.Adopt:
			s.adopted = a.Root.Generation
		}
	}
}

// wait advances the time by d, with a Tick event at each interval.
func (s *scriptedMachine) wait(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tickEvery)
		s.step(&spread.Tick{})
	}
}

// deliverParts answers for all parts twice, because the machine asks for the leaves only after it has the index.
func (s *scriptedMachine) deliverParts(parts map[string][]byte, answer func(hash string) spread.Event) {
	for range 2 {
		for hash := range parts {
			s.step(answer(hash))
		}
	}
}

// generation returns an encoded root and the parts of a document whose one team has the given share.
func generation(number uint64, share int) ([]byte, map[string][]byte) {
	root, parts := config.Split(&config.Document{Environment: "trial", Teams: []config.Team{{Name: "kiosks", Share: share}}})
	root.Generation = number
	return root.Encode(), parts
}

// TestAsksOtherSources checks that a router asks another peer, and then the platform, if the first peer does not answer.
func TestAsksOtherSources(t *testing.T) {
	is := is.New(t)
	s := newScriptedMachine()
	s.wait(time.Second)
	is.True(!s.machine.Watching())
	is.Equal(s.requests, []string{"platform root", "platform root"}) // A second read is started beside one that is unanswered.
	s.step(&spread.RootRead{})
	s.step(&spread.RootRead{})
	s.requests = nil
	s.step(&spread.Announcement{From: "b/1", Generation: 5})
	s.step(&spread.Announcement{From: "c/1", Generation: 5})
	s.wait(2 * time.Second)
	is.True(len(s.requests) > 2)
	is.Equal(s.requests[:3], []string{"b/1 0", "c/1 0", "platform root"})
	root, parts := generation(5, 1)
	s.requests = nil
	s.step(&spread.RootRead{Root: root})
	s.wait(time.Second)
	ofParts := slices.DeleteFunc(s.requests, func(what string) bool { return what == "platform root" })
	is.Equal(ofParts, []string{"platform 1", "b/1 1", "c/1 1"}) // The platform is not asked for the same part again before it has answered.
	s.deliverParts(parts, func(hash string) spread.Event { return &spread.Part{From: "c/1", Hash: hash, Data: parts[hash]} })
	is.Equal(s.adopted, uint64(5))
}

// TestIncompleteGenerationDoesNotBlock checks that a generation with parts missing on the platform does not keep the router from adopting a lower one from peers.
func TestIncompleteGenerationDoesNotBlock(t *testing.T) {
	is := is.New(t)
	s := newScriptedMachine()
	high, highParts := generation(9, 9)
	low, lowParts := generation(8, 8)
	s.step(&spread.RootRead{Root: high})
	for hash := range highParts {
		s.step(&spread.PartFailed{Hash: hash, Missing: true})
	}
	s.step(&spread.Announcement{From: "b/1", Generation: 8})
	s.step(&spread.Announcement{From: "b/1", Generation: 8, Root: low})
	s.deliverParts(lowParts, func(hash string) spread.Event { return &spread.Part{From: "b/1", Hash: hash, Data: lowParts[hash]} })
	is.Equal(s.adopted, uint64(8))
	s.wait(2 * time.Second)
	s.deliverParts(highParts, func(hash string) spread.Event { return &spread.PartRead{Hash: hash, Data: highParts[hash]} })
	is.Equal(s.adopted, uint64(9)) // The missing parts have become available.
}
