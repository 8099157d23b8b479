package config

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Encode returns a document as canonical TOML: items in a fixed order, defaults written out.
func Encode(d *Document) []byte {
	var out bytes.Buffer
	for _, part := range encodeLeaves(canonical(d)) {
		out.Write(part)
	}
	return out.Bytes()
}

// canonical returns a copy of the document with items sorted by name or path and defaults filled in.
func canonical(d *Document) *Document {
	s := *d
	s.Teams = sortedBy(d.Teams, func(t Team) string { return t.Name })
	s.DataCentres = sortedBy(d.DataCentres, func(c DataCentre) string { return c.Name })
	s.Pools = sortedBy(d.Pools, func(p Pool) string { return p.Name })
	s.Endpoints = sortedBy(d.Endpoints, func(e Endpoint) string { return e.Name })
	s.Routes = sortedBy(d.Routes, func(r Route) string { return r.Path })
	s.setDefaults()
	return &s
}

func sortedBy[T any](items []T, name func(T) string) []T {
	copied := slices.Clone(items)
	slices.SortStableFunc(copied, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return copied
}

func encodeBase(d *Document) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "environment = %s\n", quote(d.Environment))
	for _, c := range d.DataCentres {
		fmt.Fprintf(&out, "\n[[data_centres]]\nname = %s\nregion = %s\nout = %t\n", quote(c.Name), quote(c.Region), c.Out)
	}
	for _, p := range d.Pools {
		fmt.Fprintf(&out, "\n[[pools]]\nname = %s\nkind = %s\n", quote(p.Name), quote(string(p.Kind)))
		encodeOptional(&out, "model", p.Model)
		fmt.Fprintf(&out, "queue_limit = %d\nqueue_timeout = \"%s\"\n", p.QueueLimit, p.QueueTimeout)
		fmt.Fprintf(&out, "longest_request = \"%s\"\nlargest_cost = %d\n", p.LongestRequest, p.LargestCost)
		fmt.Fprintf(&out, "warm_up_requests = %d\n", p.WarmUpRequests)
	}
	for _, r := range d.Routes {
		fmt.Fprintf(&out, "\n[[routes]]\npath = %s\n", quote(r.Path))
		encodeOptional(&out, "pool", r.Pool)
		fmt.Fprintf(&out, "idempotent = %t\n", r.Idempotent)
	}
	return out.Bytes()
}

func encodeTeam(out *bytes.Buffer, t Team) {
	hashes := make([]string, len(t.KeyHashes))
	for i, hash := range t.KeyHashes {
		hashes[i] = quote(hash)
	}
	list := strings.Join(hashes, ", ")
	fmt.Fprintf(out, "\n[[teams]]\nname = %s\nshare = %d\nkey_hashes = [%s]\n", quote(t.Name), t.Share, list)
}

func encodeEndpoint(out *bytes.Buffer, e Endpoint) {
	fmt.Fprintf(out, "\n[[endpoints]]\nname = %s\npool = %s\n", quote(e.Name), quote(e.Pool))
	fmt.Fprintf(out, "data_centre = %s\naddress = \"%s\"\n", quote(e.DataCentre), e.Address)
	fmt.Fprintf(out, "warm_limit = %d\ncold_limit = %d\nleaving = %t\n", e.WarmLimit, e.ColdLimit, e.Leaving)
}

func encodeOptional(out *bytes.Buffer, key, text string) {
	if text != "" {
		fmt.Fprintf(out, "%s = %s\n", key, quote(text))
	}
}

// quote returns text as a TOML basic string. Go quoting is valid TOML here, since Parse accepts only printable ASCII.
func quote(text string) string {
	return strconv.Quote(text)
}
