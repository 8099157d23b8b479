package bubble

import "runtime"

// OneProcessor lets the process run on one processor until restore is called, under
// the race detector only. A test that calls it can't be parallel.
//
// In Go 1.26 all timers of a synctest bubble share one context of the race detector.
// A goroutine that receives from a ticker which is due already runs it itself; two
// that do so at once break the detector (SIGSEGV, or a failed CHECK in
// tsan_rtl.cpp). With one processor no two timers run at once; the detector goes
// by the order of events and finds the same races.
func OneProcessor() (restore func()) {
	if !raceDetector {
		return func() {}
	}
	before := runtime.GOMAXPROCS(1)
	return func() { runtime.GOMAXPROCS(before) }
}
