// Package poll holds the duties that ask again and again: endpoints for their
// load reports, and the platform for its list of hosts.
package poll
