package batch

import (
	"container/list"

	"ryelug/core/cell"
)

// memory holds the parts of prompts; parts that a request in the batch uses do not yield.
type memory struct {
	parts  map[uint64]*list.Element
	recent list.List // recent has the part used last in front.
	tokens int       // tokens counts all parts and what requests have generated.
	size   int
}

// kept is a part in memory.
type kept struct {
	part  cell.Part
	users int
	ready bool // ready parts have been read to their ends.
}

func newMemory(size int) memory { return memory{parts: make(map[uint64]*list.Element), size: size} }

// ready returns the number of leading parts that need not be read.
func (m *memory) ready(parts []cell.Part) int {
	for i := range parts {
		at, known := m.parts[parts[i].ID]
		if !known || !at.Value.(*kept).ready {
			return i
		}
	}
	return len(parts)
}

// fits tells whether so many tokens fit when all parts yield that nobody uses.
func (m *memory) fits(tokens int) bool {
	yields := 0
	for at := m.recent.Back(); at != nil && m.tokens-yields+tokens > m.size; at = at.Prev() {
		if one := at.Value.(*kept); one.users == 0 {
			yields += one.part.Tokens
		}
	}
	return m.tokens-yields+tokens <= m.size
}

// use adds the parts that are missing and keeps all of them from yielding.
func (m *memory) use(parts []cell.Part) {
	for _, part := range parts {
		at, known := m.parts[part.ID]
		if !known {
			at = m.recent.PushFront(&kept{part: part})
			m.parts[part.ID] = at
			m.tokens += part.Tokens
		}
		m.recent.MoveToFront(at)
		at.Value.(*kept).users++
	}
	m.shrink()
}

// read notes that parts have been read to their ends.
func (m *memory) read(parts []cell.Part) {
	for i := range parts {
		m.parts[parts[i].ID].Value.(*kept).ready = true
	}
}

// leave lets the parts of a request yield; those that nobody has read are dropped.
func (m *memory) leave(parts []cell.Part) {
	for i := range parts {
		at := m.parts[parts[i].ID]
		one := at.Value.(*kept)
		if one.users--; one.users == 0 && !one.ready {
			m.drop(at)
		}
	}
}

// shrink drops the least recently used parts until the rest fits, and tells whether it does.
func (m *memory) shrink() bool {
	for at := m.recent.Back(); at != nil && m.tokens > m.size; {
		before := at.Prev()
		if at.Value.(*kept).users == 0 {
			m.drop(at)
		}
		at = before
	}
	return m.tokens <= m.size
}

func (m *memory) drop(at *list.Element) {
	one := m.recent.Remove(at).(*kept)
	delete(m.parts, one.part.ID)
	m.tokens -= one.part.Tokens
}
