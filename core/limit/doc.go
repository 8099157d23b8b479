// Package limit bounds the work that endpoints and router processes receive.
//
// For endpoints it has the slow start (SlowStart), the part of a limit that one of several dispatchers may use (Stakes, Cap), the
// rate limit while an endpoint is cold (Rate) and its recent failures (Health). For a router process it estimates the processor
// load (Load) and bounds the concurrent requests while the process falls behind (OverloadGuard).
//
// It belongs to the state layer of core and reads no clock: the time is passed in.
package limit
