// Package engine models an inference engine, that is a server of a language model, closely enough to predict the time to
// the first token of a request there.
//
// It belongs to the state layer of core, performs no I/O and reads no clock: the caller passes the time.
package engine
