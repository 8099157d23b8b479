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

// Records keeps records in the platform.
type Records interface {
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Create(ctx context.Context, kind platform.Kind, object platform.Object) (platform.Object, error)
	Update(ctx context.Context, kind platform.Kind, object platform.Object) (platform.Object, error)
}

// Defaults of a Config.
const (
	defaultRate        = 20
	defaultTimeout     = 2 * time.Second
	defaultRetention   = 6 * time.Hour
	defaultMaxRecorded = 64 << 10
	minBurst           = 10
	overloadRetry      = time.Second
)

// Config sets up a Keeper; zero numbers take defaults.
type Config struct {
	Records     Records
	Rate        float64       // Rate bounds the requests with a key at this router, a second.
	Timeout     time.Duration // Timeout bounds the platform's part before the send.
	Retention   time.Duration // Retention is how long a record is kept, and longer if its request may run longer.
	MaxRecorded int           // MaxRecorded bounds the recorded answer, in bytes.
}

// Keeper claims keys for requests; it may be used by many goroutines.
type Keeper struct {
	config Config
	pace   *rate.Limiter
}

// New returns a Keeper.
func New(config Config) *Keeper {
	config.Rate = cmp.Or(config.Rate, defaultRate)
	config.Timeout = cmp.Or(config.Timeout, defaultTimeout)
	config.Retention = cmp.Or(config.Retention, defaultRetention)
	config.MaxRecorded = cmp.Or(config.MaxRecorded, defaultMaxRecorded)
	return &Keeper{config: config, pace: rate.NewLimiter(rate.Limit(config.Rate), burst(config.Rate))}
}

func burst(perSecond float64) int { return max(minBurst, int(perSecond)) }

// SetRate changes the bound on requests with a key: all routers share what the platform bears.
func (k *Keeper) SetRate(perSecond float64) {
	k.pace.SetLimit(rate.Limit(perSecond))
	k.pace.SetBurst(burst(perSecond))
}

// Request is what a Keeper must know of a request.
type Request struct {
	Team        cell.TeamID
	Key         string
	Attempt     string // Attempt is the id of the request.
	Fingerprint string
	Longest     time.Duration // Longest bounds the time from the claim to the end of the attempt.
}

// Claim decides whether the request may be sent, must be answered from the record, or is refused.
// The Hold is nil if nothing has to be settled.
func (k *Keeper) Claim(ctx context.Context, req Request) (*Hold, idempotency.Action) {
	if !k.pace.Allow() {
		return nil, &idempotency.Refuse{Code: result.PlatformUnavailable, RetryAfter: overloadRetry}
	}
	hold := k.newHold(req)
	action := hold.claim(ctx, k.config.Timeout)
	switch action := action.(type) {
	case *idempotency.Own:
		return hold, action
	case *idempotency.Refuse:
		if action.Unresolved {
			hold.Unanswered(true)
			return hold, action
		}
	}
	return nil, action
}

func (k *Keeper) newHold(req Request) *Hold {
	now := time.Now()
	return &Hold{
		records: k.config.Records,
		name:    idempotency.Name(req.Team, req.Key),
		record: idempotency.Record{
			State:       idempotency.Started,
			Attempt:     req.Attempt,
			Fingerprint: req.Fingerprint,
			Deadline:    now.Add(req.Longest + deadlineMargin),
		},
		expires:     now.Add(max(k.config.Retention, req.Longest+deadlineMargin)),
		maxRecorded: k.config.MaxRecorded,
	}
}
