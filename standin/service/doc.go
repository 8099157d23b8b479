// Package service is a stand-in of a plain service whose calls may not be
// repeated: it answers any POST after a while and counts what ran.
package service
