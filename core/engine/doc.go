// Package engine models one model engine well enough to predict when a request
// would get its first token there.
//
// It belongs to the state layer of core, does no I/O and owns no clock.
package engine
