package keyed

import (
	"cmp"
	"context"
	"time"

	"golang.org/x/time/rate"

	"ryelug/core/cell"
	"ryelug/core/idempotency"
	"ryelug/core/result"
	"ryelug/io/platform"
)

// Records reads and writes objects in the platform. Errors are those of io/platform.
type Records interface {
	// Get returns an object; the error is platform.ErrNotFound if it does not exist.
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	// Create stores a new object; the error is platform.ErrExists if the name is taken.
	Create(ctx context.Context, kind platform.Kind, object platform.Object) (platform.Object, error)
	// Update replaces an object; the error is platform.ErrConflict if its version has changed.
	Update(ctx context.Context, kind platform.Kind, object platform.Object) (platform.Object, error)
}

// Defaults of Config, and fixed limits.
const (
	defaultRate        = 20 // requests with a key per second
	defaultTimeout     = 2 * time.Second
	defaultRetention   = 6 * time.Hour
	defaultMaxRecorded = 64 << 10    // bytes of an answer's body
	minBurst           = 10          // requests that may arrive at once, even at a lower rate
	overloadRetryAfter = time.Second // told to callers that are refused because of the rate
)

// Config configures a Keeper. Zero numbers are replaced by defaults.
type Config struct {
	Records     Records       // access to the platform
	Rate        float64       // limit of requests with a key at this router, per second; zero means 20
	Timeout     time.Duration // time limit for the platform calls that precede a send; zero means 2 s
	Retention   time.Duration // how long a record is kept, unless its request may run for longer; zero means 6 h
	MaxRecorded int           // maximum length of a recorded body, in bytes; zero means 64 KiB
}

// Keeper claims Idempotency-Keys for requests. It is safe for concurrent use.
type Keeper struct {
	config  Config
	limiter *rate.Limiter // limits the requests with a key, to protect the platform
}

// New returns a Keeper with the given configuration.
func New(config Config) *Keeper {
	config.Rate = cmp.Or(config.Rate, defaultRate)
	config.Timeout = cmp.Or(config.Timeout, defaultTimeout)
	config.Retention = cmp.Or(config.Retention, defaultRetention)
	config.MaxRecorded = cmp.Or(config.MaxRecorded, defaultMaxRecorded)
	return &Keeper{config: config, limiter: rate.NewLimiter(rate.Limit(config.Rate), burst(config.Rate))}
}

// burst returns how many requests may arrive at once at a given rate: those of one second, but at
// least minBurst.
func burst(perSecond float64) int { return max(minBurst, int(perSecond)) }

// SetRate changes the limit of requests with a key per second. The routers divide the load that the
// platform can handle.
func (k *Keeper) SetRate(perSecond float64) {
	k.limiter.SetLimit(rate.Limit(perSecond))
	k.limiter.SetBurst(burst(perSecond))
}

// Request describes a request with an Idempotency-Key.
type Request struct {
	Team        cell.TeamID
	Key         string        // the Idempotency-Key
	Attempt     string        // ID of the request, which differs for each repeat with the same key
	Fingerprint string        // digest of the request's content; a repeat with another one is refused
	MaxDuration time.Duration // maximum time from the claim to the end of the attempt
}

// Claim decides whether a request may be sent (Owned), is answered from the record (Replay) or is
// refused (Refuse). Requests above the rate limit are refused. If the OwnedRecord is not nil, the caller
// must set its outcome, except after Refuse, where it is set already, and then call Settle.
func (k *Keeper) Claim(ctx context.Context, req Request) (*OwnedRecord, idempotency.Action) {
	if !k.limiter.Allow() {
		return nil, &idempotency.Refuse{Code: result.PlatformUnavailable, RetryAfter: overloadRetryAfter}
	}
	hold := k.newHold(req)
	action := hold.claim(ctx, k.config.Timeout)
	switch action := action.(type) {
	case *idempotency.Owned:
		return hold, action
	case *idempotency.Refuse:
		// A write of this claim may still take effect. The record must then say that the request
		// did not run.
		if action.Unresolved {
			hold.SetUnanswered(true)
			return hold, action
		}
	}
	return nil, action
}

// newHold returns an OwnedRecord for a request that has just arrived.
func (k *Keeper) newHold(req Request) *OwnedRecord {
	now := time.Now()
	return &OwnedRecord{
		records: k.config.Records,
		name:    idempotency.Name(req.Team, req.Key),
		record: idempotency.Record{
			State:       idempotency.Started,
			Attempt:     req.Attempt,
			Fingerprint: req.Fingerprint,
			Deadline:    now.Add(req.MaxDuration + deadlineMargin),
		},
		expires:     now.Add(max(k.config.Retention, req.MaxDuration+deadlineMargin)),
		maxRecorded: k.config.MaxRecorded,
	}
}
