package peer

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"ryelug/io/frame"
	"ryelug/io/greeting"
	"ryelug/io/stamped"
)

// Stats counts what a Mesh has done since its start.
type Stats struct {
	Links        int                       // Links is the number of open links, of both directions.
	Out          map[string]stamped.Amount // Out is by kind of frame; only kinds that occurred are present.
	In           map[string]stamped.Amount // In is by kind of frame; only kinds that occurred are present.
	Refused      map[string]uint64         // Refused counts connections that did not pass the greeting, by reason.
	DialFailures uint64
	Overflows    uint64 // Overflows counts links closed because their ring was full.
	Unsendable   uint64 // Unsendable counts messages over MaxFrame.
}

// Stats returns the counters of this moment.
func (m *Mesh) Stats() Stats {
	m.mu.Lock()
	links := len(m.links)
	m.mu.Unlock()
	return Stats{
		Links:        links,
		Out:          m.stats.links.Out(),
		In:           m.stats.links.In(),
		Refused:      m.stats.refusals(),
		DialFailures: m.stats.dialFailures.Load(),
		Overflows:    m.stats.links.Overflows(),
		Unsendable:   m.stats.links.Unsendable(),
	}
}

// Messages returns the number of frames so far, of both directions.
func (m *Mesh) Messages() int64 { return int64(m.stats.links.Messages()) }

// refusal numbers a reason why a connection did not become a link.
type refusal int

const (
	refusedCrowd refusal = iota
	refusedMagic
	refusedVersion
	refusedKey
	refusedHost
	refusedTimeout
	refusedBroken

	refusalCount
)

var refusalNames = [refusalCount]string{"too_many", "not_a_peer", "version", "key", "host", "timeout", "broken"}

type meshStats struct {
	links        stamped.Stats
	refused      [refusalCount]atomic.Uint64
	dialFailures atomic.Uint64
}

func (s *meshStats) refuse(reason refusal) { s.refused[reason].Add(1) }

func (s *meshStats) refusals() map[string]uint64 {
	counts := make(map[string]uint64)
	for reason := range s.refused {
		if n := s.refused[reason].Load(); n > 0 {
			counts[refusalNames[reason]] = n
		}
	}
	return counts
}

// refuse counts and logs a connection that did not pass the greeting.
func (m *Mesh) refuse(remote net.Addr, err error) {
	reason := refusalOf(err)
	m.stats.refuse(reason)
	m.log().WithFields(logrus.Fields{"remote": remote, "reason": refusalNames[reason]}).WithError(err).Warn("A connection is refused.")
}

func refusalOf(err error) refusal {
	var version *greeting.VersionError
	var large *frame.TooLargeError
	var timeout net.Error
	switch {
	case errors.As(err, &version):
		return refusedVersion
	case errors.Is(err, greeting.ErrKeyProof):
		return refusedKey
	case errors.Is(err, greeting.ErrHost):
		return refusedHost
	case errors.Is(err, greeting.ErrMagic), errors.Is(err, frame.ErrLength), errors.As(err, &large):
		return refusedMagic
	case errors.As(err, &timeout) && timeout.Timeout():
		return refusedTimeout
	}
	return refusedBroken
}
