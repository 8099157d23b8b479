// Package peer keeps the links between routers: a mesh of authenticated TCP
// connections that carry typed messages, heartbeats and time stamps.
//
// It belongs to the transport layer and decides nothing: what a message means
// is known to the packages that consume Events.
package peer
