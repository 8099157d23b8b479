// Package spread decides how a router learns of new configuration generations and when it adopts them.
//
// A few routers of each data centre watch the platform; the others learn from
// them over peer links, and each reads for itself when its news grow old. A
// Machine belongs to the coordination layer: no I/O, no clock of its own,
// events in and actions out.
package spread
