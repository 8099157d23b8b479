// Package platform is a stand-in for the platform's versioned object API, for tests and "ryelug dev".
//
// It keeps everything in memory, counts calls and can be made to fail: to be
// down or slow, to lose answers, to let watches go silent and to list late.
package platform
