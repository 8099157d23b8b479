// Package entry decides the life of one request at its router: when to ask for a
// grant, when to send, what to relay, when to retry or resume, and what final
// answer the caller gets.
//
// It has no I/O and no clock; it takes one event and returns one action.
package entry
