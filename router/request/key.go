package request

import (
	"context"
	"time"

	"ryelug/core/idempotency"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/router/keyed"
)

// keyed runs a request with an Idempotency-Key: it owns the key's record before it
// asks for a grant, and writes the outcome there after the caller has its answer.
func (r *run) keyed(ctx context.Context) {
	keys := r.runner.config.Keys
	if keys == nil {
		r.final(&idempotency.Refuse{Code: result.PlatformUnavailable, RetryAfter: time.Second})
		return
	}
	hold, claimed := keys.Claim(ctx, keyed.Request{
		Team:        r.route.Team,
		Key:         r.req.IdempotencyKey,
		Attempt:     r.req.ID,
		Fingerprint: idempotency.Fingerprint(r.req.Method, r.req.Path, r.req.ContentType, r.req.Body),
		Longest:     r.route.QueueTimeout + r.route.LongestRequest,
	})
	if hold != nil {
		defer hold.Settle(ctx)
	}
	switch claimed := claimed.(type) {
	case *idempotency.Own:
		r.key = hold
		hold.Unanswered(false) // This stays if a panic ends the request.
		r.loop(ctx)
	case *idempotency.Replay:
		r.replay(claimed.Answer)
	case *idempotency.Refuse:
		r.final(claimed)
	}
}

// replay answers a repeat with what the first request was answered.
func (r *run) replay(answer idempotency.Answer) {
	_ = r.writer.Whole(caller.Answer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
		Replayed:    true,
	})
	r.runner.config.Counter.Completed(r.latency())
}

// final refuses a request that has not been sent; not_run speaks of this request, not of earlier ones with its key.
func (r *run) final(refuse *idempotency.Refuse) {
	info, _ := result.Lookup(refuse.Code)
	_ = r.writer.Refuse(caller.Refusal{
		Code:       refuse.Code,
		NotRun:     info.NotRun,
		RetryAfter: refuse.RetryAfter,
	})
	r.runner.config.Counter.Refused(refuse.Code)
}
