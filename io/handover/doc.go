// Package handover multiplexes connections of callers over one TCP connection (a link) from one router to another.
//
// An overloaded router passes the connections of its callers on to a router with free capacity. Each connection costs it
// one read of the request and one write per event; what the other router sends arrives in batches. The package belongs to
// the transport layer and does not interpret HTTP.
package handover
