package request

import (
	"context"
	"errors"
	"strconv"
	"time"

	"ryelug/core/idempotency"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/io/endpoint"
	"ryelug/io/platform"
)

// Records keeps the records of keys in the platform.
type Records interface {
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Create(ctx context.Context, kind platform.Kind, object platform.Object) (platform.Object, error)
	Update(ctx context.Context, kind platform.Kind, object platform.Object) (platform.Object, error)
}

const (
	platformPause  = 50 * time.Millisecond
	settleTimeout  = 10 * time.Second
	deadlineMargin = 5 * time.Second
)

// key is the hold of one request on its Idempotency-Key.
type key struct {
	records     Records
	name        string
	record      idempotency.Record
	expires     time.Time
	version     string // version is that of the owned record, empty while that is not known.
	maxRecorded int
}

func (r *run) newKey() *key {
	config := r.runner.config
	now := time.Now()
	return &key{
		records: config.Records,
		name:    idempotency.Name(r.route.Team, r.req.IdempotencyKey),
		record: idempotency.Record{
			State:       idempotency.Started,
			Attempt:     r.req.ID,
			Fingerprint: idempotency.Fingerprint(r.req.Method, r.req.Path, r.req.ContentType, r.req.Body),
			Deadline:    now.Add(r.route.QueueTimeout + r.route.LongestRequest + deadlineMargin),
		},
		expires:     now.Add(config.KeyRetention),
		maxRecorded: config.MaxRecorded,
	}
}

// keyed runs a request with an Idempotency-Key: it owns the key's record before it
// asks for a grant, and writes the outcome there after the caller has its answer.
func (r *run) keyed(ctx context.Context) {
	if r.runner.config.Records == nil || !r.runner.keys.Allow() {
		r.final(&idempotency.Refuse{Code: result.PlatformUnavailable, RetryAfter: time.Second})
		return
	}
	hold := r.newKey()
	switch claimed := hold.claim(ctx, r.runner.config.KeyTimeout).(type) {
	case *idempotency.Own:
		r.key = hold
		r.loop(ctx)
		hold.settle(ctx)
	case *idempotency.Replay:
		_ = r.writer.Whole(caller.Answer{
			Status:      claimed.Answer.Status,
			ContentType: claimed.Answer.ContentType,
			Body:        claimed.Answer.Body,
			Replayed:    true,
		})
	case *idempotency.Refuse:
		r.final(claimed)
		if claimed.Unresolved {
			hold.unanswered(true)
			hold.settle(ctx)
		}
	}
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

// claim asks the platform for the key until that is decided or the time is over.
func (k *key) claim(ctx context.Context, timeout time.Duration) idempotency.Action {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	claim := idempotency.NewClaim(k.record)
	var ev idempotency.Event = &idempotency.Begin{}
	for {
		action := claim.Step(time.Now(), ev)
		if own, ok := action.(*idempotency.Own); ok {
			k.version = own.Version
		}
		if ev = k.call(ctx, action); ev == nil {
			return action
		}
	}
}

// settle writes the outcome; the caller has its answer already, and may have gone.
func (k *key) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	settlement := idempotency.NewSettlement(k.record, k.version)
	var ev idempotency.Event = &idempotency.Begin{}
	for ev != nil {
		ev = k.call(ctx, settlement.Step(ev))
	}
}

// call does one call of the platform and returns its answer, or nil if action is a decision.
func (k *key) call(ctx context.Context, action idempotency.Action) idempotency.Event {
	switch action := action.(type) {
	case *idempotency.Create:
		return k.write(ctx, action.Pause, action.Record, "", k.records.Create)
	case *idempotency.Update:
		return k.write(ctx, action.Pause, action.Record, action.Version, k.records.Update)
	case *idempotency.Get:
		return k.read(ctx, action.Pause)
	}
	return nil
}

type writeFunc func(context.Context, platform.Kind, platform.Object) (platform.Object, error)

func (k *key) write(ctx context.Context, wait bool, record idempotency.Record, version string, write writeFunc) idempotency.Event {
	data, err := record.Encode()
	if err != nil || !ready(ctx, wait) {
		return &idempotency.GiveUp{}
	}
	object, err := write(ctx, platform.Calls, platform.Object{
		Name:        k.name,
		Version:     version,
		Annotations: map[string]string{expiresAnnotation: strconv.FormatInt(k.expires.Unix(), 10)},
		Data:        data,
	})
	if err != nil {
		return failure(err)
	}
	return &idempotency.Written{Version: object.Version}
}

func (k *key) read(ctx context.Context, wait bool) idempotency.Event {
	if !ready(ctx, wait) {
		return &idempotency.GiveUp{}
	}
	object, err := k.records.Get(ctx, platform.Calls, k.name)
	if err != nil {
		return failure(err)
	}
	record, err := idempotency.Decode(object.Data)
	if err != nil {
		return &idempotency.GiveUp{}
	}
	return &idempotency.Read{Record: record, Version: object.Version}
}

func ready(ctx context.Context, wait bool) bool {
	if !wait {
		return ctx.Err() == nil
	}
	return pause(ctx, platformPause)
}

func failure(err error) idempotency.Event {
	var unavailable *platform.ErrUnavailable
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return &idempotency.Missing{}
	case errors.Is(err, platform.ErrExists), errors.Is(err, platform.ErrConflict):
		return &idempotency.Rejected{}
	case errors.As(err, &unavailable):
		return &idempotency.Unavailable{Unknown: unavailable.Unknown}
	}
	return &idempotency.GiveUp{}
}

// answered notes an answer of the endpoint; a nil key notes nothing.
func (k *key) answered(answer *endpoint.Answer) {
	if k == nil {
		return
	}
	k.record.State = idempotency.Ended
	k.record.Answer = &idempotency.Answer{Status: answer.Status, ContentType: answer.ContentType}
	if answer.Events != nil || len(answer.Body) > k.maxRecorded {
		k.record.Answer.Dropped = true
		return
	}
	k.record.Answer.Body = answer.Body
}

// unanswered notes that no answer came; a nil key notes nothing.
func (k *key) unanswered(notRun bool) {
	if k == nil {
		return
	}
	k.record.State = idempotency.Unknown
	if notRun {
		k.record.State = idempotency.NotRun
	}
}
