// Package process builds a router process from its settings: the router, its
// clients of the platform and the endpoints, and the operators' server with the
// health check and the metrics.
package process
