package slot

// None is the number of no slot; it ends lists and marks missing values.
const None int32 = 0

// Slab stores values in slots with numbers from 1 on, and uses the memory of freed slots again.
type Slab[T any] struct {
	values []T     // values is indexed by slot; its first element is unused.
	free   []int32 // free lists the slots to use again, the next one last.
}

// Put stores a value in a free slot and returns the slot's number.
func (s *Slab[T]) Put(value T) int32 {
	if last := len(s.free) - 1; last >= 0 {
		index := s.free[last]
		s.free = s.free[:last]
		s.values[index] = value
		return index
	}
	if len(s.values) == 0 {
		s.values = make([]T, 1)
	}
	s.values = append(s.values, value)
	return int32(len(s.values) - 1)
}

// At returns the value in a slot; the pointer is valid until the next Put.
func (s *Slab[T]) At(index int32) *T { return &s.values[index] }

// Free makes a slot available for another value; the old value remains in memory until then.
func (s *Slab[T]) Free(index int32) { s.free = append(s.free, index) }
