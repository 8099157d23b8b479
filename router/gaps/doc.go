// Package gaps has tests alone: the gap in service between the teams of a whole
// fleet, held to bounds that follow from the load of the test.
package gaps
