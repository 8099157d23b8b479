package toml

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxExcerpt bounds a value in an error message, in bytes.
const maxExcerpt = 80

// place says where in the text a table and its keys stand.
type place struct {
	table string
	start int // start is the offset of the table's name.
	keys  map[string]span
}

// span holds the offsets of a key and its value.
type span struct {
	key, value int
}

// full returns the key with its table in front.
func (p *place) full(key string) string {
	if p.table == "" {
		return key
	}
	return p.table + "." + key
}

// keyOf returns a dotted key and where it starts.
func keyOf(expression *unstable.Node) (string, int) {
	var parts []string
	offset := -1
	for key := expression.Key(); key.Next(); {
		if offset < 0 {
			offset = int(key.Node().Raw.Offset)
		}
		parts = append(parts, string(key.Node().Data))
	}
	return strings.Join(parts, "."), offset
}

// spanOf finds the value after the key at offset.
func (r *Reader) spanOf(offset int) span {
	equals := bytes.IndexByte(r.data[offset:], '=')
	return span{key: offset, value: offset + equals + 1}
}

// excerpt returns a value as it is written, at most the rest of its line.
func (r *Reader) excerpt(where span) string {
	text := r.data[where.value:]
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		text = text[:end]
	}
	short := strings.TrimSpace(string(text))
	if len(short) > maxExcerpt {
		short = short[:maxExcerpt] + "..."
	}
	return short
}

func (r *Reader) fail(offset int, key, found, allowed string) {
	r.errors = append(r.errors, fault{offset, &Error{Key: key, Value: found, Allowed: allowed}})
}

// FailAt reports a key of the item with the given index of a table.
func (r *Reader) FailAt(table string, index int, key, allowed string) {
	at := r.places[table][index]
	where, found := at.keys[key]
	if !found {
		r.fail(at.start, at.full(key), "", allowed)
		return
	}
	r.fail(where.key, at.full(key), r.excerpt(where), allowed)
}

// Err returns all that is wrong as Errors, sorted by line, or nil.
func (r *Reader) Err() error {
	if len(r.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(r.errors, func(a, b fault) int { return cmp.Compare(a.offset, b.offset) })
	sorted := make(Errors, 0, len(r.errors))
	line, done := 1, 0
	for _, f := range r.errors {
		line += bytes.Count(r.data[done:f.offset], []byte{'\n'})
		done = f.offset
		f.error.Line = line
		sorted = append(sorted, f.error)
	}
	return sorted
}

func names[T any](fields []Field[T]) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.Name
	}
	return strings.Join(all, ", ")
}
