package toml

import (
	"errors"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Field describes one key of a table and how its value is stored in a struct of type T.
type Field[T any] struct {
	Name     string
	Required bool
	Allowed  string                      // Allowed describes the allowed values, for errors.
	Set      func(item *T, v Value) bool // Set stores the value in item and reports whether it is allowed.
}

// Item stores the keys of one table element in a struct; Bind and Grow create items.
type Item interface {
	assign(r *Reader, expression *unstable.Node)
	checkRequired(r *Reader)
	setLocation(at *location)
}

// Schema defines the items that receive the keys of a text.
type Schema struct {
	Top    Item                    // Top receives the keys before the first table.
	Open   func(table string) Item // Open returns a new item for the next element of a table, or nil if the table is unknown.
	Tables string                  // Tables lists the known tables, for errors.
}

// Reader reads one TOML text and collects its errors. It must not be used concurrently.
type Reader struct {
	parser    unstable.Parser
	data      []byte
	locations map[string][]*location // locations holds the position of each table element, by table name and index; the top-level keys are under "".
	items     []Item
	errors    []pendingError
}

// pendingError is an Error whose line number is computed later from its byte offset.
type pendingError struct {
	offset int
	error  *Error
}

// New returns a Reader for a TOML text, which must not change while the Reader is in use.
func New(data []byte) *Reader {
	return &Reader{data: data, locations: map[string][]*location{}}
}

// Read stores all keys in the schema's items. It returns Errors only if the text is not valid TOML; errors of
// keys and tables are collected, and Err returns them.
func (r *Reader) Read(schema Schema) error {
	r.parser.Reset(r.data)
	item := schema.Top
	r.start("", 0, item)
	for r.parser.NextExpression() {
		expression := r.parser.Expression()
		switch expression.Kind {
		case unstable.KeyValue:
			if item != nil {
				item.assign(r, expression)
			}
		case unstable.Table, unstable.ArrayTable:
			item = r.beginTable(expression, schema)
		}
	}
	if err := r.parser.Error(); err != nil {
		return r.syntaxError(err)
	}
	for _, one := range r.items {
		one.checkRequired(r)
	}
	return nil
}

// beginTable returns the item of a table element, or adds an error and returns nil if the table is not allowed.
func (r *Reader) beginTable(expression *unstable.Node, schema Schema) Item {
	name, offset := keyOf(expression)
	var item Item
	if expression.Kind == unstable.ArrayTable {
		item = schema.Open(name)
	}
	if item == nil {
		r.addError(offset, name, name, schema.Tables)
		return nil
	}
	r.start(name, offset, item)
	return item
}

// start adds a new table element at the given offset and makes item receive its keys.
func (r *Reader) start(table string, offset int, item Item) {
	at := &location{table: table, start: offset, keys: map[string]span{}}
	r.locations[table] = append(r.locations[table], at)
	r.items = append(r.items, item)
	item.setLocation(at)
}

func (r *Reader) syntaxError(err error) error {
	var parse *unstable.ParserError
	if !errors.As(err, &parse) {
		return Errors{{Key: "document", Value: err.Error(), Allowed: "TOML 1.0"}}
	}
	offset := len(r.data)
	if len(parse.Highlight) > 0 {
		offset = int(r.parser.Range(parse.Highlight).Offset)
	}
	r.addError(offset, "document", parse.Message, "TOML 1.0")
	return r.Err()
}

// binding implements Item for a struct.
type binding[T any] struct {
	fields []Field[T]
	item   *T
	at     *location
}

// Bind returns an Item that stores the given fields in a struct.
func Bind[T any](fields []Field[T], item *T) Item {
	return &binding[T]{fields: fields, item: item}
}

// Grow appends an element to a slice and returns an Item for it. The Item is valid until the slice grows again.
func Grow[T any](fields []Field[T], items *[]T) Item {
	var zero T
	*items = append(*items, zero)
	return Bind(fields, &(*items)[len(*items)-1])
}

func (b *binding[T]) setLocation(at *location) { b.at = at }

func (b *binding[T]) assign(r *Reader, expression *unstable.Node) {
	name, offset := keyOf(expression)
	i := slices.IndexFunc(b.fields, func(f Field[T]) bool { return f.Name == name })
	if i < 0 {
		r.addError(offset, b.at.fullKey(name), name, "one of the keys "+fieldNames(b.fields))
		return
	}
	if _, duplicate := b.at.keys[name]; duplicate {
		r.addError(offset, b.at.fullKey(name), name, "each key once a table")
		return
	}
	where := r.keySpan(offset)
	b.at.keys[name] = where
	if !b.fields[i].Set(b.item, Value{expression.Value()}) {
		r.addError(offset, b.at.fullKey(name), r.excerpt(where), b.fields[i].Allowed)
	}
}

// checkRequired adds an error for each required key that is missing.
func (b *binding[T]) checkRequired(r *Reader) {
	for _, f := range b.fields {
		if _, found := b.at.keys[f.Name]; f.Required && !found {
			r.addError(b.at.start, b.at.fullKey(f.Name), "", f.Allowed)
		}
	}
}
