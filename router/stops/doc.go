// Package stops has a soak of planned stops: router processes with real sockets are stopped, restarted, paused and
// reconfigured while callers keep using their connections.
package stops
