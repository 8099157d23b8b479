// Package header defines the HTTP header fields that a router forwards unchanged, and tells them from hop-by-hop fields.
package header
