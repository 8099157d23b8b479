// Package placing chooses the endpoint of a cell that should answer a request, and says whether
// one can in time.
//
// An engine's cost is the predicted time to the first token, what it must read of the prompt
// included, so that locality and load are one quantity. The package belongs to the coordination
// layer, does no I/O and owns no clock.
package placing
