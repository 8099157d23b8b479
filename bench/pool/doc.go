// Package pool measures a pool that several cells work, with the real dispatchers
// and the real policy of core/slice, in a model without routers and network.
//
// The model is deterministic: a seed, a queue of timed events and delays as
// parameters. Its baselines are one cell and cells that tell each other nothing.
package pool
