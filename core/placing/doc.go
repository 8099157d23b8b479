// Package placing chooses the endpoint of a cell for a request, and reports whether any endpoint can answer before the
// request's deadline.
//
// It ranks engines mainly by the predicted time to the first token, which includes the time to read the parts of
// the prompt that the engine has not cached, so that cache locality and load are compared on one scale. The package
// belongs to the coordination layer, performs no I/O and reads no clock: the caller passes the time.
package placing
