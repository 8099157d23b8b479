// Package greeting is the handshake of a link between routers: both ends tell
// their version and name, and prove that they hold the shared key, before
// anything else is said.
//
// It belongs to the transport layer. What follows the greeting is neither
// encrypted nor signed.
package greeting
