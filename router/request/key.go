package request

import (
	"context"
	"time"

	"ryelug/core/idempotency"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/router/keyed"
)

// keyed runs a request with an Idempotency-Key. It claims the key's record before it asks for a
// grant, and writes the outcome to the record after the caller has its answer. A repeat gets the
// recorded answer, or is refused.
func (r *run) keyed(ctx context.Context) {
	keys := r.runner.config.Keys
	if keys == nil {
		r.refuseUnsent(&idempotency.Refuse{Code: result.PlatformUnavailable, RetryAfter: time.Second})
		return
	}
	hold, claimed := keys.Claim(ctx, keyed.Request{
		Team:        r.route.Team,
		Key:         r.req.IdempotencyKey,
		Attempt:     r.req.ID,
		Fingerprint: idempotency.Fingerprint(r.req.Method, r.req.Path, r.req.ContentType, r.req.Body),
		MaxDuration: r.route.QueueTimeout + r.route.LongestRequest,
	})
	if hold != nil {
		defer hold.Settle(ctx)
	}
	switch claimed := claimed.(type) {
	case *idempotency.Owned:
		r.keyHold = hold
		hold.SetUnanswered(false) // Stays the outcome if a panic ends the request.
		r.loop(ctx)
	case *idempotency.Replay:
		r.replay(claimed.Answer)
	case *idempotency.Refuse:
		r.refuseUnsent(claimed)
	}
}

// replay answers a repeat with the recorded answer to the first request.
func (r *run) replay(answer idempotency.Answer) {
	_ = r.writer.Whole(caller.Answer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
		Replayed:    true,
	})
	r.runner.config.Counter.Completed(r.latency())
}

// refuseUnsent refuses a request that was not sent. NotRun applies to this request only; an earlier
// one with the same key may have run.
func (r *run) refuseUnsent(refuse *idempotency.Refuse) {
	info, _ := result.Lookup(refuse.Code)
	_ = r.writer.Refuse(caller.Refusal{
		Code:       refuse.Code,
		NotRun:     info.NotRun,
		RetryAfter: refuse.RetryAfter,
	})
	r.runner.config.Counter.Refused(refuse.Code)
}
