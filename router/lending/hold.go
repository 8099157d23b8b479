package lending

import (
	"sync"
	"time"

	"ryelug/core/cell"
)

// sessionStatus records which session with a dispatcher is in force, and when the
// dispatcher last confirmed that it counts this entry's running attempts against
// the limits of their endpoints. The coordinator writes it; request goroutines read it.
type sessionStatus struct {
	mu          sync.Mutex
	session     cell.Session
	confirmedAt time.Time // confirmedAt is when this entry sent the newest frame that the dispatcher has acknowledged; zero if there is none.
	epoch       uint64    // epoch increases whenever the slots of all earlier attempts may have been granted to others.
}

func (s *sessionStatus) update(session cell.Session, confirmedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session != s.session {
		s.epoch++
	}
	s.session, s.confirmedAt = session, confirmedAt
}

// startEpoch starts a new epoch, since other dispatchers may now grant the slots of all earlier attempts to others.
func (s *sessionStatus) startEpoch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
}

func (s *sessionStatus) get() (epoch uint64, confirmedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.confirmedAt
}

// newHold returns the Hold of an attempt that is granted in the session in force.
func (s *sessionStatus) newHold(grantValid time.Duration) Hold {
	epoch, _ := s.get()
	return Hold{sessionStatus: s, epoch: epoch, grantValid: grantValid}
}

// Hold reports whether the dispatcher that granted an attempt still counts it
// against the endpoint's limit. It is safe for concurrent use.
type Hold struct {
	sessionStatus *sessionStatus
	epoch         uint64        // epoch is the value that sessionStatus.epoch had when the attempt was granted; a different one now means that the attempt has lapsed.
	grantValid    time.Duration // grantValid is how long one confirmation of the dispatcher permits sends.
}

// Lapsed reports whether the attempt's slot may have been granted to another attempt.
func (h Hold) Lapsed() bool {
	epoch, _ := h.sessionStatus.get()
	return epoch != h.epoch
}

// Confirmed reports whether the dispatcher has confirmed the attempt within the last
// GrantValid, so that the attempt may be sent to the endpoint now.
func (h Hold) Confirmed(now time.Time) bool {
	epoch, confirmedAt := h.sessionStatus.get()
	return epoch == h.epoch && now.Sub(confirmedAt) < h.grantValid
}
