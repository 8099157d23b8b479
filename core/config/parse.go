package config

import "ryelug/core/toml"

// Names of the tables of a document.
const (
	teamsTable       = "teams"
	dataCentresTable = "data_centres"
	poolsTable       = "pools"
	endpointsTable   = "endpoints"
	routesTable      = "routes"
)

const allowedTables = "[[teams]], [[data_centres]], [[pools]], [[endpoints]] and [[routes]]"

// Errors lists all errors of a document, sorted by line.
type Errors = toml.Errors

// Error describes one error of a document: its line, key, value and the allowed values.
type Error = toml.Error

// reader parses a document and keeps the line of each key, which errors report.
type reader struct {
	*toml.Reader
	document *Document
}

// Parse parses a document, fills in defaults and validates it. It reports failures as Errors. If the text is
// valid TOML, they hold all errors of single keys and tables together with all violated rules that span several keys.
// Otherwise they hold the syntax error and the errors of keys and tables before it.
func Parse(data []byte) (*Document, error) {
	r := &reader{Reader: toml.New(data), document: &Document{}}
	schema := toml.Schema{Top: toml.Bind(documentFields, r.document), Open: r.open, Tables: allowedTables}
	if err := r.Read(schema); err != nil {
		return nil, err
	}
	r.document.setDefaults()
	r.validate()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return r.document, nil
}

// open appends a new item to the list of the named table; it returns nil for an unknown table.
func (r *reader) open(table string) toml.Item {
	d := r.document
	switch table {
	case teamsTable:
		return toml.Grow(teamFields, &d.Teams)
	case dataCentresTable:
		return toml.Grow(dataCentreFields, &d.DataCentres)
	case poolsTable:
		return toml.Grow(poolFields, &d.Pools)
	case endpointsTable:
		return toml.Grow(endpointFields, &d.Endpoints)
	case routesTable:
		return toml.Grow(routeFields, &d.Routes)
	}
	return nil
}
