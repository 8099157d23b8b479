// Package local runs a small fleet on loopback: real routers between a stand-in
// platform and stand-in endpoints, with a sample document in force.
package local
