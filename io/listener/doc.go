// Package listener wraps a net.Listener so that it keeps accepting connections after
// transient errors, such as a shortage of file descriptors or memory.
//
// It belongs to the transport layer.
package listener
