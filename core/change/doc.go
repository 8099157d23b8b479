// Package change edits configuration documents: it takes data centres and endpoints out of
// service or returns them, compares documents, and promotes policy from one environment to another.
//
// It does no I/O: callers read the documents and put the results in force.
package change
