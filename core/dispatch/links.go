package dispatch

// none is the slot that no list holds.
const none int32 = 0

// links are the neighbours of slots in doubly linked lists; a slot is in one list at most.
type links struct {
	prev, next []int32
}

// list is the two ends of a linked list of slots.
type list struct {
	head, tail int32
	length     int
}

func (l *links) grow(slots int) {
	for len(l.next) < slots {
		l.prev = append(l.prev, none)
		l.next = append(l.next, none)
	}
}

func (l *links) push(in *list, slot int32) {
	l.prev[slot], l.next[slot] = in.tail, none
	if in.tail == none {
		in.head = slot
	} else {
		l.next[in.tail] = slot
	}
	in.tail = slot
	in.length++
}

func (l *links) remove(in *list, slot int32) {
	prev, next := l.prev[slot], l.next[slot]
	if prev == none {
		in.head = next
	} else {
		l.next[prev] = next
	}
	if next == none {
		in.tail = prev
	} else {
		l.prev[next] = prev
	}
	in.length--
}
