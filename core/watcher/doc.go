// Package watcher decides which hosts watch the platform for their data centre,
// and to whom a host passes on what it learns.
//
// It is part of the state layer: no I/O and no clock of its own.
package watcher
