// Package greeting is the handshake of a link between routers. Both ends exchange their protocol
// version and identity, and prove that they have the shared key, before any other message.
//
// It belongs to the transport layer. Frames after the handshake are neither encrypted
// nor authenticated.
package greeting
