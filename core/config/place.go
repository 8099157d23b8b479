package config

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxExcerpt bounds a value in an error message, in bytes.
const maxExcerpt = 80

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
func (r *reader) spanOf(offset int) span {
	equals := bytes.IndexByte(r.data[offset:], '=')
	return span{key: offset, value: offset + equals + 1}
}

// excerpt returns a value as it is written, at most the rest of its line.
func (r *reader) excerpt(where span) string {
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

func (r *reader) fail(offset int, key, found, allowed string) {
	r.errors = append(r.errors, fault{offset, &Error{Key: key, Value: found, Allowed: allowed}})
}

// failAt reports a key of the item with the given index of a table.
func (r *reader) failAt(table string, index int, key, allowed string) {
	at := r.places[table][index]
	where, found := at.keys[key]
	if !found {
		r.fail(at.start, at.full(key), "", allowed)
		return
	}
	r.fail(where.key, at.full(key), r.excerpt(where), allowed)
}

// sortedErrors works out the lines of all faults.
func (r *reader) sortedErrors() Errors {
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

func names[T any](fields []field[T]) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.name
	}
	return strings.Join(all, ", ")
}
