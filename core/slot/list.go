package slot

// Links are the neighbours of slots in linked lists; a slot is in one list of the same Links at most.
type Links struct {
	prev, next []int32
}

// List is the two ends of a linked list.
type List struct {
	Head, Tail int32
	Length     int
}

// Push puts a slot at the end of a list.
func (l *Links) Push(in *List, place int32) {
	for len(l.next) <= int(place) {
		l.prev = append(l.prev, None)
		l.next = append(l.next, None)
	}
	l.prev[place], l.next[place] = in.Tail, None
	if in.Tail == None {
		in.Head = place
	} else {
		l.next[in.Tail] = place
	}
	in.Tail = place
	in.Length++
}

// Remove takes a slot out of the list that it is in.
func (l *Links) Remove(in *List, place int32) {
	prev, next := l.prev[place], l.next[place]
	if prev == None {
		in.Head = next
	} else {
		l.next[prev] = next
	}
	if next == None {
		in.Tail = prev
	} else {
		l.prev[next] = prev
	}
	in.Length--
}

// Next returns the slot after one in its list, None at the end.
func (l *Links) Next(place int32) int32 { return l.next[place] }

// Previous returns the slot before one in its list, None at the begin.
func (l *Links) Previous(place int32) int32 { return l.prev[place] }
