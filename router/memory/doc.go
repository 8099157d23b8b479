// Package memory contains only tests: clients outside anyone's control hold requests and responses open at a router
// that runs as a process of its own, which must stay alive, within its memory and descriptors, and must go on
// answering ordinary callers.
package memory
