package change

import (
	"fmt"
	"slices"

	"ryelug/core/config"
)

// NameError tells that a document has no item of a name.
type NameError struct {
	Table string
	Name  string
	Known []string
}

// Error lists the names that there are.
func (e *NameError) Error() string {
	return fmt.Sprintf("%s has no %q; it has %q", e.Table, e.Name, e.Known)
}

// SetOut takes a data centre out or returns it.
func SetOut(d *config.Document, name string, out bool) error {
	i := slices.IndexFunc(d.DataCentres, func(c config.DataCentre) bool { return c.Name == name })
	if i < 0 {
		return &NameError{"data_centres", name, namesOf(d.DataCentres, func(c config.DataCentre) string { return c.Name })}
	}
	d.DataCentres[i].Out = out
	return nil
}

// SetLeaving lets an endpoint leave or returns it.
func SetLeaving(d *config.Document, name string, leaving bool) error {
	i := slices.IndexFunc(d.Endpoints, func(e config.Endpoint) bool { return e.Name == name })
	if i < 0 {
		return &NameError{"endpoints", name, namesOf(d.Endpoints, func(e config.Endpoint) string { return e.Name })}
	}
	d.Endpoints[i].Leaving = leaving
	return nil
}

func namesOf[T any](items []T, name func(T) string) []string {
	all := make([]string, len(items))
	for i, item := range items {
		all[i] = name(item)
	}
	return all
}

// Returns lists what a change from one document to another would put back to work:
// data centres that are out and endpoints that leave.
func Returns(from, to *config.Document) []string {
	var back []string
	for _, centre := range to.DataCentres {
		was := slices.ContainsFunc(from.DataCentres, func(c config.DataCentre) bool { return c.Name == centre.Name && c.Out })
		if was && !centre.Out {
			back = append(back, "data centre "+centre.Name)
		}
	}
	leaving := make(map[string]bool)
	for _, e := range from.Endpoints {
		leaving[e.Name] = e.Leaving
	}
	for _, e := range to.Endpoints {
		if leaving[e.Name] && !e.Leaving {
			back = append(back, "endpoint "+e.Name)
		}
	}
	return back
}

// Same reports whether two documents declare the same state.
func Same(a, b *config.Document) bool {
	first, _ := config.Split(a)
	second, _ := config.Split(b)
	return slices.Equal(first.Parts, second.Parts)
}
