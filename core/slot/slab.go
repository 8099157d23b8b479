package slot

// None is the slot that holds no value and is in no list.
const None int32 = 0

// Slab holds values in slots from 1 on.
type Slab[T any] struct {
	values []T
	free   []int32
}

// Put stores a value and returns its slot.
func (s *Slab[T]) Put(value T) int32 {
	if last := len(s.free) - 1; last >= 0 {
		place := s.free[last]
		s.free = s.free[:last]
		s.values[place] = value
		return place
	}
	if len(s.values) == 0 {
		s.values = make([]T, 1)
	}
	s.values = append(s.values, value)
	return int32(len(s.values) - 1)
}

// At returns the value in a slot; the pointer holds until the next Put.
func (s *Slab[T]) At(place int32) *T { return &s.values[place] }

// Free gives a slot back.
func (s *Slab[T]) Free(place int32) { s.free = append(s.free, place) }
