// Package flight counts the granted attempts at each endpoint and says which
// endpoints have room, under the stakes that a dispatcher holds.
//
// It belongs to the state layer of core and owns no clock.
package flight
