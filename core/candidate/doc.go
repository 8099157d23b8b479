// Package candidate holds a generation of the configuration on its way to
// adoption: which parts it lacks, and whom to ask for them.
//
// It is part of the state layer: no I/O and no clock of its own.
package candidate
