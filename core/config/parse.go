package config

import (
	"errors"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Names of the tables of a document.
const (
	teamsTable       = "teams"
	dataCentresTable = "data_centres"
	poolsTable       = "pools"
	endpointsTable   = "endpoints"
	routesTable      = "routes"
)

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

// reader turns a TOML text into a document and remembers where all things stand.
type reader struct {
	parser   unstable.Parser
	data     []byte
	document *Document
	places   map[string][]*place // places has one place for each item of a table.
	errors   []fault
}

// fault is an Error whose line is not worked out yet.
type fault struct {
	offset int
	error  *Error
}

// Parse reads a document, fills in defaults and validates all of it; its errors are of type Errors.
func Parse(data []byte) (*Document, error) {
	r := &reader{data: data, document: &Document{}, places: map[string][]*place{}}
	if err := r.read(); err != nil {
		return nil, err
	}
	r.document.setDefaults()
	r.validate()
	if len(r.errors) > 0 {
		return nil, r.sortedErrors()
	}
	return r.document, nil
}

func (r *reader) read() error {
	r.parser.Reset(r.data)
	top := r.open("", 0)
	assign := bind(r, top, documentFields, r.document)
	for r.parser.NextExpression() {
		expression := r.parser.Expression()
		switch expression.Kind {
		case unstable.KeyValue:
			assign(expression)
		case unstable.ArrayTable:
			assign = r.table(expression)
		case unstable.Table:
			assign = r.unknownTable(expression)
		}
	}
	if err := r.parser.Error(); err != nil {
		return r.syntaxError(err)
	}
	require(r, top, documentFields)
	r.requireAll()
	return nil
}

// assigner stores one key and its value.
type assigner func(expression *unstable.Node)

// table starts a new item of a table.
func (r *reader) table(expression *unstable.Node) assigner {
	name, offset := keyOf(expression)
	d := r.document
	at := r.open(name, offset)
	switch name {
	case teamsTable:
		return bind(r, at, teamFields, grow(&d.Teams))
	case dataCentresTable:
		return bind(r, at, dataCentreFields, grow(&d.DataCentres))
	case poolsTable:
		return bind(r, at, poolFields, grow(&d.Pools))
	case endpointsTable:
		return bind(r, at, endpointFields, grow(&d.Endpoints))
	case routesTable:
		return bind(r, at, routeFields, grow(&d.Routes))
	}
	return r.unknownTable(expression)
}

func (r *reader) unknownTable(expression *unstable.Node) assigner {
	name, offset := keyOf(expression)
	r.fail(offset, name, name, "[[teams]], [[data_centres]], [[pools]], [[endpoints]] and [[routes]]")
	return func(*unstable.Node) {}
}

func (r *reader) open(table string, offset int) *place {
	at := &place{table: table, start: offset, keys: map[string]span{}}
	r.places[table] = append(r.places[table], at)
	return at
}

func grow[T any](items *[]T) *T {
	var zero T
	*items = append(*items, zero)
	return &(*items)[len(*items)-1]
}

// bind returns the assigner for the fields of an item.
func bind[T any](r *reader, at *place, fields []field[T], item *T) assigner {
	return func(expression *unstable.Node) {
		name, offset := keyOf(expression)
		i := slices.IndexFunc(fields, func(f field[T]) bool { return f.name == name })
		if i < 0 {
			r.fail(offset, at.full(name), name, "one of the keys "+names(fields))
			return
		}
		if _, twice := at.keys[name]; twice {
			r.fail(offset, at.full(name), name, "each key once a table")
			return
		}
		where := r.spanOf(offset)
		at.keys[name] = where
		if !fields[i].set(item, value{expression.Value()}) {
			r.fail(offset, at.full(name), r.excerpt(where), fields[i].allowed)
		}
	}
}

// require checks that the keys without a default are there.
func require[T any](r *reader, at *place, fields []field[T]) {
	for _, f := range fields {
		if _, found := at.keys[f.name]; f.required && !found {
			r.fail(at.start, at.full(f.name), "", f.allowed)
		}
	}
}

func (r *reader) requireAll() {
	for table, places := range r.places {
		for _, at := range places {
			switch table {
			case teamsTable:
				require(r, at, teamFields)
			case dataCentresTable:
				require(r, at, dataCentreFields)
			case poolsTable:
				require(r, at, poolFields)
			case endpointsTable:
				require(r, at, endpointFields)
			case routesTable:
				require(r, at, routeFields)
			}
		}
	}
}

func (r *reader) syntaxError(err error) error {
	var parse *unstable.ParserError
	if !errors.As(err, &parse) {
		return Errors{{Key: "document", Value: err.Error(), Allowed: "TOML 1.0"}}
	}
	offset := len(r.data)
	if len(parse.Highlight) > 0 {
		offset = int(r.parser.Range(parse.Highlight).Offset)
	}
	r.fail(offset, "document", parse.Message, "TOML 1.0")
	return r.sortedErrors()
}
