package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run runs body in a synctest bubble. Under the race detector it uses one
// processor, so a test that calls it can't be parallel.
//
// In Go 1.26 all timers of a bubble share one context of the race detector. A
// goroutine that receives from a ticker which is due already runs it itself; two
// that do so at once break the detector (SIGSEGV, or a failed CHECK in
// tsan_rtl.cpp). With one processor no two timers run at once; the detector goes
// by the order of events and finds the same races.
func Run(t *testing.T, body func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, body)
}
