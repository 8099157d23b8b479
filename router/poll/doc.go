// Package poll contains a router's periodic requests: to endpoints for their load
// reports and their cached prompt parts, and to the platform for its list of hosts.
package poll
