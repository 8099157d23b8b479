// Package trial runs whole fleets under load through faults and says what broke.
//
// It knows nothing of tests: a trial returns an Outcome, whose violations a test
// asserts to be none. It keeps time only through the time package, so that it works
// in testing/synctest.
package trial
