// Package idempotency decides, for requests with an Idempotency-Key, who may run
// one and what its repeats are told.
//
// The records live in the platform; this package has no I/O. Its machines take
// the answers of the platform, lost ones included, and return the next call.
package idempotency
