package main

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a SIGHUP that kills a router which is about to end.
func TestHangUpsDoNotKillARouterThatLeaves(t *testing.T) {
	f := newFleet(t)
	one := f.routers[0]
	is.New(t).NoErr(one.Process.Signal(syscall.SIGTERM))
	for limit := time.Now().Add(startLimit); ; {
		select {
		case err := <-one.ended:
			is.New(t).NoErr(err) // The exit status is 0.
			return
		default:
			_ = one.Process.Signal(syscall.SIGHUP) // The process may have ended.
		}
		if time.Now().After(limit) {
			t.Fatalf("the router has not ended within %v", startLimit)
		}
	}
}
