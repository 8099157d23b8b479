package change

import (
	"fmt"
	"slices"

	"ryelug/core/config"
)

// NameError reports that a table of a document has no item with the given name.
type NameError struct {
	Table string // Key of the table in the document, such as endpoints.
	Name  string
	Known []string // Names of the items in the table.
}

// Error returns a message that lists the known names.
func (e *NameError) Error() string {
	return fmt.Sprintf("%s has no %q; it has %q", e.Table, e.Name, e.Known)
}

// SetOutOfService takes the named data centre out of service, or returns it to service if out is false. It returns a
// *NameError if the document has no such data centre.
func SetOutOfService(d *config.Document, name string, out bool) error {
	i := slices.IndexFunc(d.DataCentres, func(c config.DataCentre) bool { return c.Name == name })
	if i < 0 {
		return &NameError{"data_centres", name, namesOf(d.DataCentres, func(c config.DataCentre) string { return c.Name })}
	}
	d.DataCentres[i].Out = out
	return nil
}

// SetLeaving marks the named endpoint as leaving, or returns it to service if leaving is false. It returns a
// *NameError if the document has no such endpoint.
func SetLeaving(d *config.Document, name string, leaving bool) error {
	i := slices.IndexFunc(d.Endpoints, func(e config.Endpoint) bool { return e.Name == name })
	if i < 0 {
		return &NameError{"endpoints", name, namesOf(d.Endpoints, func(e config.Endpoint) string { return e.Name })}
	}
	d.Endpoints[i].Leaving = leaving
	return nil
}

func namesOf[T any](items []T, name func(T) string) []string {
	names := make([]string, len(items))
	for i, item := range items {
		names[i] = name(item)
	}
	return names
}

// ReturnedToService lists the data centres and endpoints that the change between two documents would return to service:
// those that are out or leaving in the first document and not in the second.
func ReturnedToService(from, to *config.Document) []string {
	var returned []string
	for _, centre := range to.DataCentres {
		wasOut := slices.ContainsFunc(from.DataCentres, func(c config.DataCentre) bool { return c.Name == centre.Name && c.Out })
		if wasOut && !centre.Out {
			returned = append(returned, "data centre "+centre.Name)
		}
	}
	wasLeaving := make(map[string]bool)
	for _, e := range from.Endpoints {
		wasLeaving[e.Name] = e.Leaving
	}
	for _, e := range to.Endpoints {
		if wasLeaving[e.Name] && !e.Leaving {
			returned = append(returned, "endpoint "+e.Name)
		}
	}
	return returned
}

// Same reports whether two documents declare the same state.
func Same(a, b *config.Document) bool {
	first, _ := config.Split(a)
	second, _ := config.Split(b)
	return slices.Equal(first.Parts, second.Parts)
}
