// Package spread decides how a router learns of new configurations and when it adopts them.
//
// The platform stores a configuration as a root, which carries a generation number
// and refers to parts by their hashes. A few routers of each data centre watch the
// platform for a new root. The others learn of it from peers, and each reads the
// platform itself when it has had no confirmation for some time.
//
// A Machine belongs to the coordination layer of core. It does no I/O and reads no
// clock: each call of Step takes an event with its time and returns actions.
package spread
