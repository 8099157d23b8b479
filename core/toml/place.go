package toml

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxExcerpt is the maximum length of a value quoted in an error message, in bytes.
const maxExcerpt = 80

// location is the position in the text of one table element and its keys.
type location struct {
	table string
	start int             // start is the byte offset of the table's name; it is 0 for the keys before the first table.
	keys  map[string]span // keys holds the positions of the keys that are present.
}

// span holds the byte offsets of a key and its value.
type span struct {
	key, value int
}

// fullKey returns the key with its table in front, such as teams.share.
func (p *location) fullKey(key string) string {
	if p.table == "" {
		return key
	}
	return p.table + "." + key
}

// keyOf returns the dotted key of an expression and its byte offset.
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

// keySpan returns the span of the key at offset; its value starts after the next equals sign.
func (r *Reader) keySpan(offset int) span {
	equals := bytes.IndexByte(r.data[offset:], '=')
	return span{key: offset, value: offset + equals + 1}
}

// excerpt returns the value as written in the text, up to the end of its line and at most maxExcerpt bytes.
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

func (r *Reader) addError(offset int, key, found, allowed string) {
	r.errors = append(r.errors, pendingError{offset, &Error{Key: key, Value: found, Allowed: allowed}})
}

// FailAt adds an error for a key of the table element at the given index; Err returns it. The index must be in range.
func (r *Reader) FailAt(table string, index int, key, allowed string) {
	at := r.locations[table][index]
	where, found := at.keys[key]
	if !found {
		r.addError(at.start, at.fullKey(key), "", allowed)
		return
	}
	r.addError(where.key, at.fullKey(key), r.excerpt(where), allowed)
}

// Err returns all errors so far as Errors, sorted by line, or nil if there are none.
func (r *Reader) Err() error {
	if len(r.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(r.errors, func(a, b pendingError) int { return cmp.Compare(a.offset, b.offset) })
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

func fieldNames[T any](fields []Field[T]) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.Name
	}
	return strings.Join(all, ", ")
}
