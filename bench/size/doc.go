// Package size measures what a fleet spends by its size: the slopes of docs/CAPACITY.md.
package size
