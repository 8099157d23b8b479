// Package configuration is the duty of a router that keeps its configuration up to date.
//
// It runs a spread.Machine over the platform and the links to other routers:
// one goroutine decides, one reads and one watches.
package configuration
