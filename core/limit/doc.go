// Package limit decides how much work an endpoint may have: its slow start, the part of
// its limit that the stakes of a dispatcher allow, its rate while it is cold, and how far
// it is used while it fails.
//
// It belongs to the state layer of core and owns no clock.
package limit
