// Package limit decides how much work an endpoint may have in flight: its slow
// start, and the part of its limit that the stakes of a dispatcher allow.
//
// It belongs to the state layer of core and owns no clock.
package limit
