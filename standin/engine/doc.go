// Package engine is a stand-in of a model engine: chat completions whole or as
// server-sent events, resume, cancel, load reports, faults and an exact history.
package engine
