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
	retryPause     = 50 * time.Millisecond // pause before a platform call that follows a failed one
	settleTimeout  = 10 * time.Second      // limit of the time to write an outcome
	deadlineMargin = 5 * time.Second       // added to the longest time of a request, after which its router is taken for dead
)

// OwnedRecord writes the record of one Idempotency-Key for the request that claimed it. It is not safe for
// concurrent use.
type OwnedRecord struct {
	records     Records
	name        string             // name of the record in the platform
	record      idempotency.Record // the record to write next
	expires     time.Time          // when the record may be deleted
	version     string             // version of the record in the platform that this request owns; empty if not known
	maxRecorded int                // maximum length of a recorded body, in bytes
}

// claim calls the platform until core/idempotency decides whether the request owns its key, or
// until timeout. The result is an Owned, Replay or Refuse.
func (h *OwnedRecord) claim(ctx context.Context, timeout time.Duration) idempotency.Action {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	claim := idempotency.NewClaim(h.record)
	var ev idempotency.Event = &idempotency.Begin{}
	for {
		action := claim.Step(time.Now(), ev)
		if own, ok := action.(*idempotency.Owned); ok {
			h.version = own.Version
		}
		if ev = h.callPlatform(ctx, action); ev == nil {
			return action
		}
	}
}

// Settle writes the outcome to the record. The caller has its answer by then and may have gone, so
// the end of ctx does not stop the write; settleTimeout does. If the write fails, repeats are
// refused: as in progress until the record's deadline, then as unknown.
func (h *OwnedRecord) Settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	settlement := idempotency.NewSettlement(h.record, h.version)
	var ev idempotency.Event = &idempotency.Begin{}
	for ev != nil {
		ev = h.callPlatform(ctx, settlement.Step(ev))
	}
}

// callPlatform makes the platform call that an action asks for and returns the result. It returns
// nil if the action is a final decision.
func (h *OwnedRecord) callPlatform(ctx context.Context, action idempotency.Action) idempotency.Event {
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

// writeFunc is the Create or Update method of Records.
type writeFunc func(context.Context, platform.Kind, platform.Object) (platform.Object, error)

// write stores the record with its expiry, after a pause if wait is set.
func (h *OwnedRecord) write(ctx context.Context, wait bool, record idempotency.Record, version string, write writeFunc) idempotency.Event {
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
		return eventFromError(err)
	}
	return &idempotency.Written{Version: object.Version}
}

// read fetches the record of the key, after a pause if wait is set.
func (h *OwnedRecord) read(ctx context.Context, wait bool) idempotency.Event {
	if !ready(ctx, wait) {
		return &idempotency.GiveUp{}
	}
	object, err := h.records.Get(ctx, platform.Calls, h.name)
	if err != nil {
		return eventFromError(err)
	}
	record, err := idempotency.Decode(object.Data)
	if err != nil {
		return &idempotency.GiveUp{}
	}
	return &idempotency.Read{Record: record, Version: object.Version}
}

// ready pauses before a repeated call if wait is set, and reports whether ctx is still active.
func ready(ctx context.Context, wait bool) bool {
	if !wait {
		return ctx.Err() == nil
	}
	return pause.For(ctx, retryPause)
}

// eventFromError turns an error of the platform into an event. An unexpected error ends the attempt
// to claim or settle.
func eventFromError(err error) idempotency.Event {
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

// SetAnswer sets the endpoint's answer as the outcome. A body longer than the limit is not recorded.
// It does nothing on a nil OwnedRecord.
func (h *OwnedRecord) SetAnswer(status int, contentType string, body []byte) {
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

// SetStreamed sets as outcome that the endpoint answered with a stream, whose content is not recorded.
// It does nothing on a nil OwnedRecord.
func (h *OwnedRecord) SetStreamed(status int) {
	if h == nil {
		return
	}
	h.record.State = idempotency.Ended
	h.record.Answer = &idempotency.Answer{Status: status, Dropped: true}
}

// SetUnanswered sets as outcome that no answer came. If notRun is true, the request has not run and a
// repeat may run; otherwise repeats are told that the outcome is unknown. It does nothing on a nil
// OwnedRecord.
func (h *OwnedRecord) SetUnanswered(notRun bool) {
	if h == nil {
		return
	}
	h.record.State = idempotency.Unknown
	if notRun {
		h.record.State = idempotency.NotRun
	}
}
