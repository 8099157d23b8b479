// Package header holds the fields of HTTP headers that pass through a router unchanged.
package header
