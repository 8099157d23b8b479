package slot

// Index assigns numbers to names, from 0 on and in the order of their first use. A name keeps its number.
type Index[K comparable] struct {
	indexes map[K]int32
}

// NewIndex returns an Index without names.
func NewIndex[K comparable]() Index[K] { return Index[K]{make(map[K]int32)} }

// Ensure returns the number of a name, and assigns the next free number if the name is new.
func (x *Index[K]) Ensure(name K) (index int32, isNew bool) {
	if index, known := x.indexes[name]; known {
		return index, false
	}
	index = int32(len(x.indexes))
	x.indexes[name] = index
	return index, true
}

// Find returns the number of a name; known is false if it has none.
func (x *Index[K]) Find(name K) (index int32, known bool) {
	index, known = x.indexes[name]
	return index, known
}
