// Package idempotency decides, for requests with an Idempotency-Key header, whether an
// attempt may run and which answer a repeated request gets.
//
// The records are stored in the platform. This package does no I/O: its state machines,
// Claim and Settlement, take the platform's answer to the last call, or the fact that no
// answer came, and return the next call.
package idempotency
