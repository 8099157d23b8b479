// Package gaps contains only tests: they measure by how much the service that teams
// get from a whole fleet differs, relative to their shares, and compare it with bounds
// that follow from the load.
package gaps
