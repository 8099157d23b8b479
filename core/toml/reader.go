package toml

import (
	"errors"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Field is one key of a table: how its value is read and what may stand there.
type Field[T any] struct {
	Name     string
	Required bool
	Allowed  string
	Set      func(item *T, v Value) bool // Set returns false if the value is not allowed.
}

// Item is a struct that takes the keys of one table.
type Item interface {
	assign(r *Reader, expression *unstable.Node)
	require(r *Reader)
	open(at *place)
}

// Schema says where the keys of a text go.
type Schema struct {
	Top    Item                    // Top takes the keys before the first table.
	Open   func(table string) Item // Open starts another item of a table; it returns nil for an unknown table.
	Tables string                  // Tables says which tables there are, for errors.
}

// Reader reads one text.
type Reader struct {
	parser unstable.Parser
	data   []byte
	places map[string][]*place // places has one place for each item of a table.
	items  []Item
	errors []fault
}

// fault is an Error whose line is not worked out yet.
type fault struct {
	offset int
	error  *Error
}

// New returns a reader of a text.
func New(data []byte) *Reader {
	return &Reader{data: data, places: map[string][]*place{}}
}

// Read hands all keys to the schema's items; it returns Errors only for a text that is not TOML.
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
			item = r.table(expression, schema)
		}
	}
	if err := r.parser.Error(); err != nil {
		return r.syntaxError(err)
	}
	for _, one := range r.items {
		one.require(r)
	}
	return nil
}

// table starts an item, or reports a table that is not allowed and returns nil.
func (r *Reader) table(expression *unstable.Node, schema Schema) Item {
	name, offset := keyOf(expression)
	var item Item
	if expression.Kind == unstable.ArrayTable {
		item = schema.Open(name)
	}
	if item == nil {
		r.fail(offset, name, name, schema.Tables)
		return nil
	}
	r.start(name, offset, item)
	return item
}

func (r *Reader) start(table string, offset int, item Item) {
	at := &place{table: table, start: offset, keys: map[string]span{}}
	r.places[table] = append(r.places[table], at)
	r.items = append(r.items, item)
	item.open(at)
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
	r.fail(offset, "document", parse.Message, "TOML 1.0")
	return r.Err()
}

// bound is a struct and the fields that its keys go to.
type bound[T any] struct {
	fields []Field[T]
	item   *T
	at     *place
}

// Bind returns an item for a struct.
func Bind[T any](fields []Field[T], item *T) Item {
	return &bound[T]{fields: fields, item: item}
}

// Grow binds a new last element of a slice; it is valid until the next one.
func Grow[T any](fields []Field[T], items *[]T) Item {
	var zero T
	*items = append(*items, zero)
	return Bind(fields, &(*items)[len(*items)-1])
}

func (b *bound[T]) open(at *place) { b.at = at }

func (b *bound[T]) assign(r *Reader, expression *unstable.Node) {
	name, offset := keyOf(expression)
	i := slices.IndexFunc(b.fields, func(f Field[T]) bool { return f.Name == name })
	if i < 0 {
		r.fail(offset, b.at.full(name), name, "one of the keys "+names(b.fields))
		return
	}
	if _, twice := b.at.keys[name]; twice {
		r.fail(offset, b.at.full(name), name, "each key once a table")
		return
	}
	where := r.spanOf(offset)
	b.at.keys[name] = where
	if !b.fields[i].Set(b.item, Value{expression.Value()}) {
		r.fail(offset, b.at.full(name), r.excerpt(where), b.fields[i].Allowed)
	}
}

// require checks that the keys without a default are there.
func (b *bound[T]) require(r *Reader) {
	for _, f := range b.fields {
		if _, found := b.at.keys[f.Name]; f.Required && !found {
			r.fail(b.at.start, b.at.full(f.Name), "", f.Allowed)
		}
	}
}
