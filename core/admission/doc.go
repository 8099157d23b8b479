// Package admission dispatches a cell whose endpoints the platform registers: it
// admits a request to the endpoint that core/placing chooses, lets it wait, or refuses at
// once what none can answer in time.
//
// The load that its decisions answer is an overload by some tens of percent, with
// prompts that share parts, and a few teams that ask for many times their share.
// It belongs to the coordination layer, does no I/O and owns no clock.
package admission
