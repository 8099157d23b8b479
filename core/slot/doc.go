// Package slot keeps values in numbered slots that are used again, and orders
// slots in linked lists, so that a steady state allocates nothing.
//
// It belongs to the state layer of core.
package slot
