// Package backlog bounds what one team may have waiting at one entry, and keeps
// a flood of a team from reaching the dispatcher while that refuses it anyway.
//
// It is part of the state layer of core, without I/O or a clock of its own.
package backlog
