// Package candidate holds a generation of the configuration that has not been adopted yet: the parts that have
// arrived, those that are missing, and the peer or the platform to request them from. It also remembers rejected
// generations.
//
// It belongs to the state layer of core, performs no I/O and reads no clock: the caller passes the time.
package candidate
