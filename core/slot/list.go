package slot

// Links stores the links of doubly linked lists of slots. A slot is in at most one list of the same Links at a time.
type Links struct {
	prev, next []int32
}

// List is the head, the tail and the length of a linked list; the links are in a Links. The zero value is an empty list.
type List struct {
	Head, Tail int32
	Length     int
}

// Push appends a slot to a list.
func (l *Links) Push(list *List, index int32) {
	for len(l.next) <= int(index) {
		l.prev = append(l.prev, None)
		l.next = append(l.next, None)
	}
	l.prev[index], l.next[index] = list.Tail, None
	if list.Tail == None {
		list.Head = index
	} else {
		l.next[list.Tail] = index
	}
	list.Tail = index
	list.Length++
}

// Remove removes a slot from the list that it is in. The argument must be that list.
func (l *Links) Remove(list *List, index int32) {
	prev, next := l.prev[index], l.next[index]
	if prev == None {
		list.Head = next
	} else {
		l.next[prev] = next
	}
	if next == None {
		list.Tail = prev
	} else {
		l.prev[next] = prev
	}
	list.Length--
}

// Next returns the slot after this one in its list; None at the end.
func (l *Links) Next(index int32) int32 { return l.next[index] }

// Previous returns the slot before this one in its list; None at the head.
func (l *Links) Previous(index int32) int32 { return l.prev[index] }
