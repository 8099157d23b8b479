// Package network is a stand-in of the network between hosts: connections in
// memory with delays, partitions, and connections that go silent.
//
// It keeps time only through the time package, so that it works in
// testing/synctest.
package network
