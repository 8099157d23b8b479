package fair

// Heap is an indexed min-heap: at most one key per item, items being small integers.
type Heap struct {
	keys  []float64
	place []int32 // place holds the position of an item in items, or absent.
	items []int32
}

const absent = -1

// Grow makes room for items 0 to n-1.
func (h *Heap) Grow(n int) {
	for len(h.place) < n {
		h.place = append(h.place, absent)
		h.keys = append(h.keys, 0)
	}
}

// Len returns the number of items in the heap.
func (h *Heap) Len() int { return len(h.items) }

// Has tells whether the item is in the heap.
func (h *Heap) Has(item int) bool { return h.place[item] != absent }

// Set puts the item in with the key, or moves it to the key.
func (h *Heap) Set(item int, key float64) {
	h.keys[item] = key
	if !h.Has(item) {
		h.place[item] = int32(len(h.items))
		h.items = append(h.items, int32(item))
	}
	at := int(h.place[item])
	if !h.up(at) {
		h.down(at)
	}
}

// Remove takes the item out, if it is in.
func (h *Heap) Remove(item int) {
	at := int(h.place[item])
	if at == absent {
		return
	}
	last := len(h.items) - 1
	h.swap(at, last)
	h.items = h.items[:last]
	h.place[item] = absent
	if at < last && !h.up(at) {
		h.down(at)
	}
}

// Min returns the item with the least key, ties going to the lower item; ok is false for an empty heap.
func (h *Heap) Min() (item int, ok bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return int(h.items[0]), true
}

// MinExcept returns the item with the least key among all items but one.
func (h *Heap) MinExcept(except int) (item int, ok bool) {
	if len(h.items) == 0 || int(h.items[0]) != except {
		return h.Min()
	}
	switch len(h.items) {
	case 1:
		return 0, false
	case 2:
		return int(h.items[1]), true
	}
	if h.less(2, 1) {
		return int(h.items[2]), true
	}
	return int(h.items[1]), true
}

func (h *Heap) less(a, b int) bool {
	x, y := h.items[a], h.items[b]
	if h.keys[x] != h.keys[y] {
		return h.keys[x] < h.keys[y]
	}
	return x < y
}

func (h *Heap) swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	h.place[h.items[a]] = int32(a)
	h.place[h.items[b]] = int32(b)
}

func (h *Heap) up(at int) bool {
	moved := false
	for at > 0 {
		parent := (at - 1) / 2
		if !h.less(at, parent) {
			break
		}
		h.swap(at, parent)
		at, moved = parent, true
	}
	return moved
}

func (h *Heap) down(at int) {
	for {
		child := 2*at + 1
		if child >= len(h.items) {
			return
		}
		if right := child + 1; right < len(h.items) && h.less(right, child) {
			child = right
		}
		if !h.less(child, at) {
			return
		}
		h.swap(at, child)
		at = child
	}
}
