package wire

import "ryelug/core/cell"

const (
	maxNames      = 1 << 12 // names numbered on one direction of a link
	maxNumbered   = 64      // bytes of the longest name that gets a number
	numberedAfter = 2       // bytes of the longest name that stays as it is
)

// History is what one direction of a link has carried, so that what recurs is short.
// Both ends number names in the order in which they are first sent, until the table
// is full, and write attempts as their distance to the newest one.
type History struct {
	numbers map[string]uint64 // numbers is used by the sender.
	list    []string          // list is used by the receiver.
	newest  uint64            // newest is the greatest attempt so far.
	cell    cell.ID           // cell and session are those of the last message that named both.
	session cell.Session
}

// NewHistory returns the history of a new link.
func NewHistory() *History { return &History{numbers: make(map[string]uint64)} }

func isNumbered(name string) bool {
	return len(name) > numberedAfter && len(name) <= maxNumbered
}

// number returns the number of a name that was sent before.
func (h *History) number(name string) (uint64, bool) {
	number, ok := h.numbers[name]
	return number, ok
}

// sent gives a name its number, if it gets one.
func (h *History) sent(name string) {
	if isNumbered(name) && len(h.numbers) < maxNames {
		h.numbers[name] = uint64(len(h.numbers))
	}
}

// received gives a name its number, as sent did at the other end.
func (h *History) received(name string) {
	if isNumbered(name) && len(h.list) < maxNames {
		h.list = append(h.list, name)
	}
}

// name returns the name with this number.
func (h *History) name(number uint64) (string, bool) {
	if number >= uint64(len(h.list)) {
		return "", false
	}
	return h.list[number], true
}

// distance returns how far an attempt is behind the newest one; it wraps around.
func (h *History) distance(attempt uint64) int64 {
	distance := int64(h.newest - attempt)
	h.newest = max(h.newest, attempt)
	return distance
}

// attempt returns the attempt that is so far behind the newest one.
func (h *History) attempt(distance int64) uint64 {
	attempt := h.newest - uint64(distance)
	h.newest = max(h.newest, attempt)
	return attempt
}
