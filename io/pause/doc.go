// Package pause waits for a time or for the end of a context, whichever is first.
package pause
