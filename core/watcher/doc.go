// Package watcher decides which hosts of each data centre watch the platform for
// changes of the configuration, and to which hosts a host forwards what it learns.
//
// It belongs to the state layer of core. It does no I/O, and its callers pass in
// the time.
package watcher
