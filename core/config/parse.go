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

// Errors lists all that is wrong in a document, in the order of its lines.
type Errors = toml.Errors

// Error tells one thing that is wrong in a document.
type Error = toml.Error

// reader reads a document and remembers where all things stand.
type reader struct {
	*toml.Reader
	document *Document
}

// Parse reads a document, fills in defaults and validates all of it; its errors are of type Errors.
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

// open starts a new item of a table.
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
