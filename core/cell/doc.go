// Package cell holds the vocabulary that routers share when they speak of a
// cell: a pool of endpoints, or a slice of one, whose work one dispatcher grants.
//
// It is the protocol layer of core: plain values without behaviour of their own.
package cell
