// Package operator speaks to operators: counters under /debug/vars, health
// under /healthz, and the log.
//
// It is part of the transport layer and knows nothing of what the counters mean.
package operator
