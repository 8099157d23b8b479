package fair

// Heap is an indexed min-heap of small integers with one key each; of equal keys the lower item comes first.
type Heap struct {
	keys     []float64
	position []int32 // position holds the index of each item in items, or absent.
	items    []int32
}

const absent = -1

// Grow makes the items 0 to n-1 valid. It does not insert them, and never shrinks the heap.
func (h *Heap) Grow(n int) {
	for len(h.position) < n {
		h.position = append(h.position, absent)
		h.keys = append(h.keys, 0)
	}
}

// Len returns the number of items in the heap.
func (h *Heap) Len() int { return len(h.items) }

// Has reports whether the item is in the heap.
func (h *Heap) Has(item int) bool { return h.position[item] != absent }

// Set inserts the item with the key, or changes its key if it is already in the heap.
func (h *Heap) Set(item int, key float64) {
	h.keys[item] = key
	if !h.Has(item) {
		h.position[item] = int32(len(h.items))
		h.items = append(h.items, int32(item))
	}
	at := int(h.position[item])
	if !h.up(at) {
		h.down(at)
	}
}

// Remove removes the item; it does nothing if the item is not in the heap.
func (h *Heap) Remove(item int) {
	at := int(h.position[item])
	if at == absent {
		return
	}
	last := len(h.items) - 1
	h.swap(at, last)
	h.items = h.items[:last]
	h.position[item] = absent
	if at < last && !h.up(at) {
		h.down(at)
	}
}

// Min returns the item with the smallest key, the lower item if keys are equal; ok is false for an empty heap.
func (h *Heap) Min() (item int, ok bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return int(h.items[0]), true
}

// MinExcept returns the item with the smallest key other than the item except; ok is false if there is none.
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
	h.position[h.items[a]] = int32(a)
	h.position[h.items[b]] = int32(b)
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
