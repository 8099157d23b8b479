// Package directory answers what a router asks of its configuration: the team of
// a key, the pool of a request, the address of an endpoint, the policy of a cell.
package directory
