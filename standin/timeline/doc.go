// Package timeline orders what happens in a model with a virtual clock.
package timeline
