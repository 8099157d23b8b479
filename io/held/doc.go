// Package held takes bytes from the budget of a process for bodies and responses of its peers.
package held
