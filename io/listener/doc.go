// Package listener accepts connections through shortages of descriptors or memory.
//
// It belongs to the transport layer.
package listener
