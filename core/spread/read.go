package spread

import (
	"bytes"
	"fmt"
	"time"

	"ryelug/core/candidate"
	"ryelug/core/config"
)

const (
	firstBackoff    = time.Second // firstBackoff is the base of the exponential backoff of a router that does not watch.
	retriesPerCheck = 4           // retriesPerCheck is how many times a watcher retries a failed read in each check interval.
)

// scheduleRead reads the root when it is due: on a watcher at regular intervals, elsewhere when confirmations are overdue.
func (m *Machine) scheduleRead() {
	if m.readsInFlight > 0 {
		m.hedgeRead()
		return
	}
	if m.now.Before(m.nextReadAt) {
		return
	}
	if !m.watching && !m.isStale() {
		m.nextReadAt = m.freshAt.Add(m.config.Stale + m.jitter(m.readSpread()))
		return
	}
	m.readRoot()
}

// readRoot starts a read of the root from the platform.
func (m *Machine) readRoot() {
	m.readsInFlight++
	m.lastReadAt = m.now
	m.emit(&ReadRoot{Began: m.now})
}

// hedgeRead starts a second read beside one that is unanswered after hedgeDelay, as its connection may never answer.
func (m *Machine) hedgeRead() {
	if m.readsInFlight < maxConcurrentReads && m.age(m.lastReadAt) >= hedgeDelay {
		m.readRoot()
	}
}

// isStale reports whether this router has no configuration, or no confirmation for so long that it reads the platform itself.
func (m *Machine) isStale() bool {
	return m.root.Generation == 0 || m.age(m.freshAt) >= m.config.Stale
}

// readSpread returns the time over which the hosts spread their reads.
func (m *Machine) readSpread() time.Duration {
	return max(minJitter, time.Duration(m.roles.Size())*jitterPerMember)
}

// handleRootRead handles a root that the platform returned or a watch delivered.
func (m *Machine) handleRootRead(e *RootRead) {
	if !e.Watched {
		m.readsInFlight--
	}
	m.failures = 0
	m.contactAt, m.freshAt = m.now, m.now
	m.nextReadAt = m.lastReadAt.Add(m.config.Check)
	if !m.watching {
		m.nextConfirmAt = m.now // The peers of this data centre need not read as well.
		m.nextReadAt = m.now.Add(m.config.Stale + m.jitter(m.readSpread()))
	}
	m.dropUnfetched()
	if !e.Same {
		m.platformRoot = e.Root
	}
	if len(e.Root) > 0 {
		m.considerRoot(e.Root, "")
	}
	if !e.Watched && e.Began.After(m.adoptedAt) {
		m.reportOlderRoot()
	}
}

// reportOlderRoot rejects and reports the platform's root if it differs from the root in force
// but has no higher generation. The read must have begun after the adoption to show this.
func (m *Machine) reportOlderRoot() {
	root, err := config.ParseRoot(m.platformRoot)
	if err != nil || root.Generation > m.root.Generation || bytes.Equal(m.platformRoot, m.rawRoot) || m.isRejected(m.platformRoot) {
		return
	}
	m.reject(m.platformRoot, root.Generation, fmt.Errorf("the platform holds generation %d, which is not above generation %d in force; apply with -above %d",
		root.Generation, m.root.Generation, m.root.Generation))
}

// dropUnfetched drops a pending generation whose root no peer has sent, after a read of the platform, which is asked last.
func (m *Machine) dropUnfetched() {
	if m.pending != nil && !m.pending.HasRoot() && m.pending.From == "" {
		m.pending = nil
	}
}

// hastenRead brings the next read of the root forward, unless the last reads have failed.
func (m *Machine) hastenRead() {
	if m.failures > 0 {
		return
	}
	m.freshAt = time.Time{}
	if soon := m.now.Add(m.jitter(minJitter)); soon.Before(m.nextReadAt) {
		m.nextReadAt = soon
	}
}

// handleRootFailed schedules the next read after a failed one, with exponential backoff unless this router watches.
func (m *Machine) handleRootFailed() {
	m.readsInFlight--
	m.dropUnfetched()
	m.failures++
	if m.watching {
		m.nextReadAt = m.now.Add(m.config.Check / retriesPerCheck)
		return
	}
	wait := min(maxBackoff, firstBackoff<<min(m.failures, 10))
	m.nextReadAt = m.now.Add(wait/2 + m.jitter(wait))
}

// adopt puts a complete candidate in force if it is valid and higher than the generation in force.
func (m *Machine) adopt(c *candidate.Candidate) {
	m.pending = nil
	if c.Root.Generation <= m.root.Generation {
		return
	}
	parts := c.Parts(m.parts)
	doc, err := config.Join(c.Root, parts)
	if err != nil {
		m.reject(c.Raw, c.Root.Generation, err)
		return
	}
	m.root, m.rawRoot, m.parts = c.Root, c.Raw, parts
	m.adoptedAt = m.now
	m.emit(&Adopt{Root: c.Root, Document: doc})
	m.rejects.Forget(c.Root.Generation)
	m.acknowledge()
}

// reject remembers a root that can't be adopted, and reports it.
func (m *Machine) reject(raw []byte, generation uint64, err error) {
	m.rejects.Add(m.now, raw, generation)
	m.emit(&Report{Generation: generation, Err: err})
}

// isRejected reports whether a root was rejected before, and if so drops a pending request for the same generation.
func (m *Machine) isRejected(raw []byte) bool {
	generation, found := m.rejects.See(m.now, raw)
	if found && m.pending != nil && !m.pending.HasRoot() && m.pending.Generation == generation {
		m.pending = nil
	}
	return found
}
