package configuration

import (
	"sync"

	"ryelug/core/spread"
)

// inbox holds events until the duty takes them; put never blocks.
type inbox struct {
	mu     sync.Mutex
	events []spread.Event
	filled chan struct{}
}

func newInbox() *inbox {
	return &inbox{filled: make(chan struct{}, 1)}
}

// put adds an event. A full inbox takes no more messages of peers, which are sent again; all else is always taken.
func (i *inbox) put(event spread.Event) {
	i.mu.Lock()
	if len(i.events) < inboxSize || !isRepeated(event) {
		i.events = append(i.events, event)
	}
	i.mu.Unlock()
	select {
	case i.filled <- struct{}{}:
	default:
	}
}

func isRepeated(event spread.Event) bool {
	switch event.(type) {
	case *spread.News, *spread.Ask, *spread.Part:
		return true
	}
	return false
}

func (i *inbox) take() []spread.Event {
	i.mu.Lock()
	defer i.mu.Unlock()
	taken := i.events
	i.events = nil
	return taken
}
