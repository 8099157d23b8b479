// Package fleettest is what the tests of whole fleets share: a fleet in virtual
// time, faults to inflict on it, and the checks of what must hold meanwhile.
package fleettest
