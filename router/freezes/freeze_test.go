package freezes_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/standin/bubble"
	"ryelug/standin/network"
	"ryelug/standin/trial"
)

// shortTokenGap makes requests so short that many grants are on their way to a router when it freezes.
const shortTokenGap = 5 * time.Millisecond

// A router freezes for longer than every timeout and then receives everything that has arrived
// in the meantime. No answer may be lost or reach the wrong caller, no call may run twice, and
// no grant of the dispatcher may be used after it has expired.
func TestFrozenRouter(t *testing.T) {
	cases := []struct {
		name   string
		freeze trial.Freeze
	}{
		{"dispatcher", trial.Freeze{Role: trial.Dispatcher, Times: 1, Seed: 200}},
		{"entry", trial.Freeze{Role: trial.Entry, Waking: network.DataFirst, Times: 1, Seed: 201}},
		{"dispatcher, cold", trial.Freeze{Role: trial.Dispatcher, Cold: true, Times: 2, Seed: 202}},
		{"dispatcher, cold, data first", trial.Freeze{Role: trial.Dispatcher, Cold: true, Times: 1, Waking: network.DataFirst, Seed: 203}},
		{"entry, cold", trial.Freeze{Role: trial.Entry, Cold: true, Times: 2, Seed: 204}},
		{"entry, cold, data first", trial.Freeze{Role: trial.Entry, Cold: true, Times: 1, Waking: network.DataFirst, Seed: 205}},
		{"entry, cold, short requests", trial.Freeze{Role: trial.Entry, Cold: true, Times: 1, Gap: shortTokenGap, Waking: network.DataFirst, Seed: 206}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assertNoViolations(t, c.freeze) })
	}
}

// Routers freeze as in the cases of TestFrozenRouter with cold engines. There only new requests count
// towards the limit of a cold engine; here the streams that are resumed afterwards count as well.
func TestFrozenRouterResumes(t *testing.T) {
	for i, role := range []trial.Role{trial.Dispatcher, trial.Entry} {
		t.Run(string(role), func(t *testing.T) {
			assertNoViolations(t, trial.Freeze{Role: role, Cold: true, Times: 2, Resumes: true, Seed: uint64(301 + i)})
		})
	}
}

// assertNoViolations checks that a fleet under load keeps all its guarantees while routers freeze.
func assertNoViolations(t *testing.T, freeze trial.Freeze) {
	t.Helper()
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		outcome, err := trial.WithFreezes(t.Context(), freeze)
		is.New(t).NoErr(err)
		t.Log(outcome.Figures())
		for _, violation := range outcome.Violations() {
			t.Error(violation)
		}
	})
}
