// Package configuration keeps a router's configuration up to date.
//
// It connects the decision logic of spread.Machine with the platform, which stores
// the configuration, and with the links to other routers. One goroutine feeds the
// machine with events and executes its actions, a fixed number of goroutines read
// objects from the platform, and one keeps a watch on the root object open while
// this router is one of its data centre's watchers.
//
// A configuration document is stored as parts, each named by the hash of its text.
// The root object lists the parts of the generation in force; generations are
// numbered upwards from 1.
package configuration
