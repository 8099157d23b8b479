// Package freezes contains only tests: routers of a whole fleet under load stop
// running for longer than every timeout and then resume, as a paused process does.
package freezes
