// Package entry implements the state machine of one request at the router that received it.
// It decides when to ask for a grant, when to send, what to forward to the caller, when to retry
// or to resume a stream, and which final answer the caller gets.
//
// A Lifecycle does no I/O and reads no clock: each Step takes one event and returns one action.
package entry
