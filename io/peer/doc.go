// Package peer maintains the links between routers: a mesh of authenticated TCP
// connections that carry typed messages, heartbeats and time stamps.
//
// It belongs to the transport layer and does not interpret messages: that is up to
// the packages that consume its Events.
package peer
