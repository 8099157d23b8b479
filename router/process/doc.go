// Package process assembles a router process from its settings: the router,
// its clients and servers, counters, and the operators' server.
package process
