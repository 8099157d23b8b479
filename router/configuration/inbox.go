package configuration

import (
	"sync"

	"ryelug/core/spread"
)

// inbox queues events for the goroutine that runs the machine. put never blocks.
type inbox struct {
	mu     sync.Mutex
	events []spread.Event
	notify chan struct{} // notify holds one signal while events may be waiting.
}

func newInbox() *inbox {
	return &inbox{notify: make(chan struct{}, 1)}
}

// put appends an event. Once inboxSize events are queued, messages of peers are dropped, since their
// senders repeat them; events of other kinds are always queued.
func (i *inbox) put(event spread.Event) {
	i.mu.Lock()
	if len(i.events) < inboxSize || !isResent(event) {
		i.events = append(i.events, event)
	}
	i.mu.Unlock()
	select {
	case i.notify <- struct{}{}:
	default:
	}
}

// isResent reports whether the event is a message that its sender repeats if it is lost.
func isResent(event spread.Event) bool {
	switch event.(type) {
	case *spread.Announcement, *spread.PartRequest, *spread.Part:
		return true
	}
	return false
}

// drain removes and returns all queued events, oldest first.
func (i *inbox) drain() []spread.Event {
	i.mu.Lock()
	defer i.mu.Unlock()
	drained := i.events
	i.events = nil
	return drained
}
