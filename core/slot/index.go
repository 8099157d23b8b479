package slot

// Index numbers names from 0 on, in the order in which they come.
type Index[K comparable] struct {
	places map[K]int32
}

// NewIndex returns an Index without names.
func NewIndex[K comparable]() Index[K] { return Index[K]{make(map[K]int32)} }

// Ensure returns the number of a name, and whether the name is new.
func (x *Index[K]) Ensure(name K) (place int32, isNew bool) {
	if place, known := x.places[name]; known {
		return place, false
	}
	place = int32(len(x.places))
	x.places[name] = place
	return place, true
}

// Find returns the number of a name, and whether there is one.
func (x *Index[K]) Find(name K) (place int32, known bool) {
	place, known = x.places[name]
	return place, known
}
