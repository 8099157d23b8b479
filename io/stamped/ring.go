package stamped

import (
	"sync"

	"ryelug/io/wire"
)

const ringLength = 1024 // messages that wait in a link

// outgoing is an encoded message, with the echo that held when it was sent.
type outgoing struct {
	kind wire.Kind
	body []byte
	echo uint64
}

// ring is a bounded queue of messages. Its memory follows what is queued.
type ring struct {
	mu       sync.Mutex
	items    []outgoing
	bytes    int
	maxBytes int
	wake     chan struct{} // wake holds a token when items may be present.
}

func newRing(maxBytes int) *ring {
	return &ring{maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// add queues the message that item returns; it returns false if there is none or no room.
// Messages are made under the ring's lock, so that they queue in the order in which they were made.
func (r *ring) add(item func() (outgoing, bool)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, ok := item()
	if !ok {
		return false
	}
	full := len(r.items) >= ringLength
	heavy := len(r.items) > 0 && r.bytes+len(out.body) > r.maxBytes
	if full || heavy {
		return false
	}
	r.items = append(r.items, out)
	r.bytes += len(out.body)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return true
}

// takeAll returns the queued messages; if there are none, idle is called under the ring's lock.
func (r *ring) takeAll(idle func()) []outgoing {
	r.mu.Lock()
	defer r.mu.Unlock()
	items := r.items
	r.items = nil
	r.bytes = 0
	if len(items) == 0 && idle != nil {
		idle()
	}
	return items
}
