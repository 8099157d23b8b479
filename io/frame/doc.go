// Package frame cuts a byte stream into frames: a length as an unsigned
// varint, then as many bytes. Lengths are checked before memory is taken, and
// each read and write has a deadline.
//
// It belongs to the transport layer and knows nothing of what a frame holds.
package frame
