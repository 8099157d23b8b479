package holding

import (
	"sync"
	"time"
)

// Kind says what bytes are held for.
type Kind int

// Kinds of held bytes.
const (
	Connections Kind = iota // Connections: buffers and goroutines of callers' connections, heads and small bodies included.
	Bodies                  // Bodies: bodies of requests that are being read, wait for a grant or are sent to an endpoint.
	Responses               // Responses: responses and events that callers have not read, or that are being read from endpoints.
	Handovers               // Handovers: requests kept for connections that another router serves.
	kinds                   // kinds is the number of kinds.
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [kinds]string{"connections", "bodies", "responses", "handovers"}[k]
}

// Cause says why a holder is evicted or gets no bytes.
type Cause int

// Causes.
const (
	None    Cause = iota // None: the holder is not evicted; of a body that is refused nevertheless, that it arrived too slowly.
	Stalled              // Stalled: the budget is exhausted and the holder makes no progress.
	Largest              // Largest: the budget is exhausted, and the holder is the largest of the client that holds the most.
	Full                 // Full: the budget stayed exhausted, and no holder may be evicted.
	causes               // causes is the number of causes.
)

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string {
	return [causes]string{"slow", "stalled", "largest", "full"}[c]
}

// Causes returns all causes.
func Causes() []Cause {
	all := make([]Cause, causes)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}

// reserveDivisor is the divisor of the size that gives the bytes which only connections and responses may take, so that
// ordinary callers are still accepted and answered while bodies have used up the rest. Half of it is for connections alone.
const reserveDivisor = 4

// Config configures a Budget.
type Config struct {
	Size       int64         // Size is the number of bytes that may be held; it must be positive.
	StallAfter time.Duration // StallAfter is the time without progress from which a holder counts as stalled.
}

// Budget counts the bytes that are held, by holder, and selects the holder to evict when they are exhausted. Its methods
// may be called concurrently. All of them accept a nil Budget, which has no limit and counts nothing.
type Budget struct {
	config Config

	mu       sync.Mutex
	used     [kinds]int64
	total    int64 // total is the sum of used.
	leaving  int64 // leaving is the number of bytes that evicted holders have not released yet.
	holders  Holder
	clients  map[string]*client
	evicted  [causes]int64
	exceeded int64 // exceeded counts the bytes that were taken beyond the size by Force.
}

// Holder is one body or response for which bytes are held. Its zero value, with the first fields set, holds none; it must
// not be copied afterwards.
type Holder struct {
	Kind   Kind
	Client string // Client identifies the peer that the bytes are held for: its address or team.
	// Evict makes the holder release its bytes soon; it must not block. Nil means that the holder is never evicted.
	Evict func()
	// OnlyStalled excludes the holder from eviction while its peer makes progress, because its request was forwarded.
	OnlyStalled bool

	previous, next *Holder
	client         *client
	bytes          int64
	progressAt     time.Time
	kept           bool // kept means that the holder is no longer evicted, because its request is complete.
	cause          Cause
}

// client is the total of one client.
type client struct {
	bytes   int64
	holders int
}

// New returns a Budget with nothing taken.
func New(config Config) *Budget {
	b := &Budget{config: config, clients: make(map[string]*client)}
	b.holders.next, b.holders.previous = &b.holders, &b.holders
	return b
}

// MaxHeld returns the most bytes that holders, without connections, can ever hold together; b must not be nil.
func (b *Budget) MaxHeld() int64 { return b.config.Size - b.config.Size/reserveDivisor }

// TakeConnection takes bytes for a connection and reports whether they were available.
func (b *Budget) TakeConnection(bytes int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total+bytes > b.config.Size {
		return false
	}
	b.add(Connections, bytes)
	return true
}

// ReleaseConnection releases bytes that TakeConnection took.
func (b *Budget) ReleaseConnection(bytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(Connections, -bytes)
}

// Take takes bytes for a holder, which counts as progress, and reports whether they were available. If they were not, victim is the
// holder to evict, possibly h itself: the caller calls Evict of another one, and tries again a moment later. A nil
// victim means that enough bytes are being released, or that no holder may be evicted.
func (b *Budget) Take(now time.Time, h *Holder, bytes int64) (ok bool, victim *Holder) {
	if b == nil {
		return true, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	reserve := b.config.Size / reserveDivisor
	if h.Kind == Responses {
		reserve /= 2 // Answers of requests that were executed go before bodies of others.
	}
	others := b.total - b.used[Connections]
	if excess := others + bytes + max(reserve, b.used[Connections]) - b.config.Size; excess > 0 {
		if h.cause == None {
			h.progressAt = now
		}
		if excess > b.leaving {
			victim = b.victim(now, h)
		}
		return false, victim
	}
	b.hold(now, h, bytes)
	return true, nil
}

// Force takes bytes for a holder even if they are not available: the bytes are held already.
func (b *Budget) Force(now time.Time, h *Holder, bytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hold(now, h, bytes)
	if b.total > b.config.Size {
		b.exceeded += bytes
	}
}

// Progress records that the peer of a holder has sent or read something.
func (b *Budget) Progress(now time.Time, h *Holder) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progressAt = now
}

// Keep excludes a holder from eviction, because its request is complete and may be forwarded to an endpoint. It reports
// false if the holder is evicted already.
func (b *Budget) Keep(h *Holder) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.kept = h.cause == None
	return h.kept
}

// Evicted returns why a holder is evicted, or None.
func (b *Budget) Evicted(h *Holder) Cause {
	if b == nil {
		return None
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.cause
}

// Release releases bytes of a holder; those beyond what it holds are ignored.
func (b *Budget) Release(h *Holder, bytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(h, min(bytes, h.bytes))
}

// End releases all bytes of a holder.
func (b *Budget) End(h *Holder) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(h, h.bytes)
}

// hold adds bytes to a holder.
func (b *Budget) hold(now time.Time, h *Holder, bytes int64) {
	if h.next == nil {
		h.previous, h.next = b.holders.previous, &b.holders
		h.previous.next, h.next.previous = h, h
		if h.client = b.clients[h.Client]; h.client == nil {
			h.client = &client{}
			b.clients[h.Client] = h.client
		}
		h.client.holders++
	}
	h.progressAt = now
	h.bytes += bytes
	h.client.bytes += bytes
	if h.cause != None {
		b.leaving += bytes
	}
	b.add(h.Kind, bytes)
}

// drop takes bytes off a holder, and forgets the holder when it holds none.
func (b *Budget) drop(h *Holder, bytes int64) {
	if h.next == nil {
		return
	}
	h.bytes -= bytes
	h.client.bytes -= bytes
	if h.cause != None {
		b.leaving -= bytes
	}
	b.add(h.Kind, -bytes)
	if h.bytes > 0 {
		return
	}
	h.previous.next, h.next.previous = h.next, h.previous
	h.previous, h.next = nil, nil
	if h.client.holders--; h.client.holders == 0 {
		delete(b.clients, h.Client)
	}
	h.client = nil
}

func (b *Budget) add(kind Kind, bytes int64) {
	b.used[kind] += bytes
	b.total += bytes
}

// victim selects the holder to evict for h and marks it: the one that has made no progress for the longest time if any is
// stalled, else the largest one of the client that holds the most. It returns nil if there is none.
func (b *Budget) victim(now time.Time, h *Holder) *Holder {
	var stalled, largest *Holder
	for one := b.holders.next; one != &b.holders; one = one.next {
		if one.kept || one.cause != None || one.Evict == nil {
			continue
		}
		if now.Sub(one.progressAt) >= b.config.StallAfter && (stalled == nil || one.progressAt.Before(stalled.progressAt)) {
			stalled = one
		}
		if one.OnlyStalled {
			continue
		}
		if largest == nil || one.client.bytes > largest.client.bytes || one.client.bytes == largest.client.bytes && one.bytes > largest.bytes {
			largest = one
		}
	}
	chosen, cause := stalled, Stalled
	if chosen == nil {
		chosen, cause = largest, Largest
	}
	if chosen == nil || chosen == h && h.bytes == 0 {
		return nil
	}
	chosen.cause = cause
	b.leaving += chosen.bytes
	b.evicted[cause]++
	return chosen
}

// Figures holds the present state and the counters of a Budget.
type Figures struct {
	Size     int64            `json:"size"`
	Held     map[string]int64 `json:"held"`     // Held is the bytes held, by kind.
	Evicted  map[string]int64 `json:"evicted"`  // Evicted counts the evicted holders since the start, by cause.
	Exceeded int64            `json:"exceeded"` // Exceeded counts the bytes that were held beyond the size before they could be counted.
}

// Figures returns the present state and the counters.
func (b *Budget) Figures() Figures {
	figures := Figures{Held: make(map[string]int64), Evicted: make(map[string]int64)}
	if b == nil {
		return figures
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	figures.Size, figures.Exceeded = b.config.Size, b.exceeded
	for kind := range kinds {
		figures.Held[kind.String()] = b.used[kind]
	}
	for cause := Stalled; cause < Full; cause++ {
		figures.Evicted[cause.String()] = b.evicted[cause]
	}
	return figures
}
