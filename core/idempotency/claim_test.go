package idempotency_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/idempotency"
	"ryelug/core/result"
)

var now = time.Unix(1000, 0)

func record(state idempotency.State, attempt, fingerprint string, deadline time.Time) idempotency.Record {
	return idempotency.Record{State: state, Attempt: attempt, Fingerprint: fingerprint, Deadline: deadline}
}

func TestClaim(t *testing.T) {
	later, past := now.Add(time.Minute), now.Add(-time.Second)
	ended := record(idempotency.Ended, "other", "f", later)
	ended.Answer = &idempotency.Answer{Status: 200}
	own := record(idempotency.Started, "mine", "f", later)
	rejected, lost := &idempotency.Rejected{}, &idempotency.Unavailable{Unknown: true}
	read := func(r idempotency.Record) idempotency.Event { return &idempotency.Read{Record: r, Version: "7"} }
	cases := []struct {
		name   string
		events []idempotency.Event
		want   idempotency.Action
	}{
		{"created", []idempotency.Event{&idempotency.Written{Version: "1"}}, &idempotency.Owned{Version: "1"}},
		{"answer lost, own record stored", []idempotency.Event{lost, read(own)}, &idempotency.Owned{Version: "7"}},
		{"answer lost, no record stored", []idempotency.Event{lost, &idempotency.Missing{}}, &idempotency.Create{Record: own}},
		{"answer lost, record of another attempt", []idempotency.Event{lost, read(record(idempotency.Started, "other", "f", later))},
			&idempotency.Refuse{Code: result.KeyInProgress, RetryAfter: time.Second}},
		{"running", []idempotency.Event{rejected, read(record(idempotency.Started, "other", "f", later))},
			&idempotency.Refuse{Code: result.KeyInProgress, RetryAfter: time.Second}},
		{"router died", []idempotency.Event{rejected, read(record(idempotency.Started, "other", "f", past))},
			&idempotency.Refuse{Code: result.KeyOutcomeUnknown}},
		{"unknown", []idempotency.Event{rejected, read(record(idempotency.Unknown, "other", "f", later))},
			&idempotency.Refuse{Code: result.KeyOutcomeUnknown}},
		{"key of another request", []idempotency.Event{rejected, read(record(idempotency.Ended, "other", "g", later))},
			&idempotency.Refuse{Code: result.KeyMismatch}},
		{"ended", []idempotency.Event{rejected, read(ended)}, &idempotency.Replay{Answer: *ended.Answer}},
		{"not run", []idempotency.Event{rejected, read(record(idempotency.NotRun, "other", "f", later))},
			&idempotency.Update{Record: own, Version: "7"}},
		{"gave up after a lost answer", []idempotency.Event{lost, &idempotency.GiveUp{}},
			&idempotency.Refuse{Code: result.PlatformUnavailable, RetryAfter: 2 * time.Second, Unresolved: true}},
		{"platform never reached", []idempotency.Event{&idempotency.Unavailable{}, &idempotency.GiveUp{}},
			&idempotency.Refuse{Code: result.PlatformUnavailable, RetryAfter: 2 * time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			claim := idempotency.NewClaim(own)
			got := claim.Step(now, &idempotency.Begin{})
			for _, ev := range c.events {
				got = claim.Step(now, ev)
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

func TestSettlement(t *testing.T) {
	free := record(idempotency.NotRun, "mine", "f", now)
	cases := []struct {
		name, version string
		found         idempotency.Record
		want          idempotency.Action
	}{
		{"own record still started", "1", record(idempotency.Started, "mine", "f", now), &idempotency.Update{Record: free, Version: "7"}},
		{"own record already settled", "1", free, &idempotency.Settled{}},
		{"another's", "1", record(idempotency.Started, "other", "f", now), &idempotency.Settled{}},
		{"free record is rewritten so that a late update is rejected", "", record(idempotency.NotRun, "other", "f", now), &idempotency.Update{Record: free, Version: "7"}},
		{"free record of another attempt stays", "1", record(idempotency.NotRun, "other", "f", now), &idempotency.Settled{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			settlement := idempotency.NewSettlement(free, c.version)
			settlement.Step(&idempotency.Begin{})
			is.New(t).Equal(settlement.Step(&idempotency.Read{Record: c.found, Version: "7"}), c.want)
		})
	}
	t.Run("missing record is created so that a late create is rejected", func(t *testing.T) {
		settlement := idempotency.NewSettlement(free, "")
		settlement.Step(&idempotency.Begin{})
		is.New(t).Equal(settlement.Step(&idempotency.Missing{}), &idempotency.Create{Record: free})
	})
}

func TestDigests(t *testing.T) {
	is := is.New(t)
	is.True(idempotency.Name("a", "bc") != idempotency.Name("ab", "c"))
	is.True(idempotency.Fingerprint("POST", "/a", "", []byte("b")) != idempotency.Fingerprint("POST", "/ab", "", nil))
}
