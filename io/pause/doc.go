// Package pause waits until a duration has passed or a context is done, whichever comes first.
package pause
