package keyed

import (
	"context"
	"errors"
	"strconv"
	"time"

	"ryelug/core/idempotency"
	"ryelug/io/pause"
	"ryelug/io/platform"
)

const (
	platformPause  = 50 * time.Millisecond
	settleTimeout  = 10 * time.Second
	deadlineMargin = 5 * time.Second
)

// Hold is one request's hold on its key.
type Hold struct {
	records     Records
	name        string
	record      idempotency.Record
	expires     time.Time
	version     string // version is that of the owned record, empty while that is not known.
	maxRecorded int
}

// claim asks the platform for the key until that is decided or the time is over.
func (h *Hold) claim(ctx context.Context, timeout time.Duration) idempotency.Action {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	claim := idempotency.NewClaim(h.record)
	var ev idempotency.Event = &idempotency.Begin{}
	for {
		action := claim.Step(time.Now(), ev)
		if own, ok := action.(*idempotency.Own); ok {
			h.version = own.Version
		}
		if ev = h.call(ctx, action); ev == nil {
			return action
		}
	}
}

// Settle writes the outcome; the caller has its answer already, and may have gone.
func (h *Hold) Settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	settlement := idempotency.NewSettlement(h.record, h.version)
	var ev idempotency.Event = &idempotency.Begin{}
	for ev != nil {
		ev = h.call(ctx, settlement.Step(ev))
	}
}

// call does one call of the platform and returns its answer, or nil if action is a decision.
func (h *Hold) call(ctx context.Context, action idempotency.Action) idempotency.Event {
	switch action := action.(type) {
	case *idempotency.Create:
		return h.write(ctx, action.Pause, action.Record, "", h.records.Create)
	case *idempotency.Update:
		return h.write(ctx, action.Pause, action.Record, action.Version, h.records.Update)
	case *idempotency.Get:
		return h.read(ctx, action.Pause)
	}
	return nil
}

type writeFunc func(context.Context, platform.Kind, platform.Object) (platform.Object, error)

func (h *Hold) write(ctx context.Context, wait bool, record idempotency.Record, version string, write writeFunc) idempotency.Event {
	data, err := record.Encode()
	if err != nil || !ready(ctx, wait) {
		return &idempotency.GiveUp{}
	}
	object, err := write(ctx, platform.Calls, platform.Object{
		Name:        h.name,
		Version:     version,
		Annotations: map[string]string{expiresAnnotation: strconv.FormatInt(h.expires.Unix(), 10)},
		Data:        data,
	})
	if err != nil {
		return failure(err)
	}
	return &idempotency.Written{Version: object.Version}
}

func (h *Hold) read(ctx context.Context, wait bool) idempotency.Event {
	if !ready(ctx, wait) {
		return &idempotency.GiveUp{}
	}
	object, err := h.records.Get(ctx, platform.Calls, h.name)
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
	return pause.For(ctx, platformPause)
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

// Answered notes an answer of the endpoint; a nil Hold notes nothing.
func (h *Hold) Answered(status int, contentType string, body []byte) {
	if h == nil {
		return
	}
	h.record.State = idempotency.Ended
	h.record.Answer = &idempotency.Answer{Status: status, ContentType: contentType}
	if len(body) > h.maxRecorded {
		h.record.Answer.Dropped = true
		return
	}
	h.record.Answer.Body = body
}

// Streamed notes that the endpoint has answered by a stream, which is not recorded; a nil Hold notes nothing.
func (h *Hold) Streamed(status int) {
	if h == nil {
		return
	}
	h.record.State = idempotency.Ended
	h.record.Answer = &idempotency.Answer{Status: status, Dropped: true}
}

// Unanswered notes that no answer came; a nil Hold notes nothing.
func (h *Hold) Unanswered(notRun bool) {
	if h == nil {
		return
	}
	h.record.State = idempotency.Unknown
	if notRun {
		h.record.State = idempotency.NotRun
	}
}
