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

// Stats holds counters of a Mesh since its creation.
type Stats struct {
	Links        int                       // Links is the number of open links now, both directions together.
	Out          map[string]stamped.Amount // Out counts frames sent, by kind; kinds that did not occur are absent.
	In           map[string]stamped.Amount // In counts frames received, by kind; kinds that did not occur are absent.
	Refused      map[string]uint64         // Refused counts connections closed during or before the handshake, by reason.
	DialFailures uint64                    // DialFailures counts dials that made no connection.
	Overflows    uint64                    // Overflows counts links closed because their send queue was full.
	Unsendable   uint64                    // Unsendable counts messages not sent because they exceed MaxFrame.
}

// Stats returns the current counters.
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

// Messages returns the number of frames sent and received since creation.
func (m *Mesh) Messages() int64 { return int64(m.stats.links.Messages()) }

// refusal is the reason why a connection did not become a link.
type refusal int

const (
	refusedTooMany refusal = iota
	refusedNotPeer
	refusedVersion
	refusedKey
	refusedHost
	refusedTimeout
	refusedBroken

	refusalCount
)

// refusalNames are the reasons as they appear in Stats and in the log.
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

// refuse counts and logs a connection that failed the handshake.
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
		return refusedNotPeer
	case errors.As(err, &timeout) && timeout.Timeout():
		return refusedTimeout
	}
	return refusedBroken
}
