// Package wire holds the messages that routers send each other, and writes and
// reads them as msgpack values, field after field.
//
// It belongs to the protocol layer. Lengths are checked against the bytes at hand
// before memory is taken, so that hostile input costs no more than its own size.
package wire
