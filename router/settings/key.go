package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/crossing"
	"ryelug/core/toml"
)

const (
	minPeerKey = 16
	maxPeerKey = 1024
	kilobyte   = 1 << 10
	megabyte   = 1 << 20
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Key describes one key of the settings file.
type Key struct {
	Name     string
	Allowed  string // Allowed describes the allowed values, for errors and docs/SETTINGS.md.
	Text     string // Text is the description in docs/SETTINGS.md.
	Required bool
	Secret   bool // Secret is set if errors must not show the value.

	initial    string                               // initial is the default value as text; it is empty if there is none.
	setDefault func(s *Settings)                    // setDefault stores the default value; it is nil if there is none.
	set        func(s *Settings, v toml.Value) bool // set stores a value and reports whether it is allowed.
}

// Default returns the default value as text, "required" for a required key, or "" for an optional key without a default.
func (k Key) Default() string {
	if k.Required {
		return "required"
	}
	return k.initial
}

// Keys returns a copy of the list of all keys, in the order of docs/SETTINGS.md.
func Keys() []Key {
	return slices.Clone(keys)
}

var keys = []Key{
	nameKey("host", "Name of this host, one of its own in the environment.", func(s *Settings) *string { return (*string)(&s.Host) }),
	nameKey("data_centre", "Data centre that this host is in.", func(s *Settings) *string { return &s.DataCentre }),
	optionalNameKey("region", "Region of the data centre, where there are several: connections are handed over to other data centres of the same region only.",
		func(s *Settings) *string { return &s.Region }),
	nameKey("environment", "Environment whose document is in force here.", func(s *Settings) *string { return &s.Environment }),
	addressKey("callers_address", "Where callers send requests.", false, func(s *Settings) *netip.AddrPort { return &s.CallersAddress }),
	addressKey("operator_address", "Where `/debug/vars` and `/healthz` are.", false, func(s *Settings) *netip.AddrPort { return &s.OperatorAddress }),
	addressKey("peer_address", "Where other routers connect; they learn this address, so it must be one that they reach.", true,
		func(s *Settings) *netip.AddrPort { return &s.PeerAddress }),
	optionalAddressKey("others_address", "Where other routers hand over connections of callers while they have less left than this one; the routers of a region that name one take connections from each other.",
		func(s *Settings) *netip.AddrPort { return &s.OthersAddress }),
	addressKey("platform_address", "Address of the platform's object API.", true, func(s *Settings) *netip.AddrPort { return &s.PlatformAddress }),
	peerKeyKey(),
	peerKeyFileKey(),
	levelKey(),
	formatKey(),
	durationKey("balancer_lag", "Time between the first unhealthy `/healthz` of a leaving router and the close of its listener and idle connections; longer than the balancer takes to notice.",
		5*time.Second, 0, 10*time.Minute, func(s *Settings) *time.Duration { return &s.BalancerLag }),
	durationKey("strain_late", "Lateness of this process from which on it sends new requests to other routers and asks the balancer for no more. Zero is never.",
		0, 0, 10*time.Second, func(s *Settings) *time.Duration { return &s.StrainLate }),
	durationKey("heartbeat", "Longest silence on a link between routers before a heartbeat is sent.",
		250*time.Millisecond, 50*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.Heartbeat }),
	durationKey("idle_heartbeat", "The same on a link that no entry asks a dispatcher over; it is closed `link_silent` after the next heartbeat was due. Zero is `heartbeat`. Allowed with `registered` only, as elsewhere votes rest on all links; the same in the whole environment.",
		0, 0, 10*time.Second, func(s *Settings) *time.Duration { return &s.IdleHeartbeat }),
	durationKey("link_silent", "Silence after which a link is closed and dialled again; at least twice `heartbeat`.",
		750*time.Millisecond, 100*time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.LinkSilent }),
	durationKey("dial_timeout", "Limit of the time to connect to another router.",
		time.Second, 50*time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.DialTimeout }),
	durationKey("stake_lease", "Time for which a dispatcher counts on a stake after it was last confirmed; more than `link_silent`; the same in the whole environment.",
		800*time.Millisecond, 200*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.StakeLease }),
	durationKey("grant_valid", "Oldest grant that a router still uses; less than `stake_lease`; at least `heartbeat` and five times the longest one-way delay between routers or to an endpoint; the same in the whole environment.",
		400*time.Millisecond, 50*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.GrantValid }),
	durationKey("load_poll", "Interval of the dispatcher's requests for an endpoint's load report; at least a second for an endpoint with next to no work.",
		250*time.Millisecond, 50*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.LoadPoll }),
	durationKey("report_lag", "How old an endpoint's load report may be when it is sent.",
		500*time.Millisecond, 0, 30*time.Second, func(s *Settings) *time.Duration { return &s.ReportLag }),
	durationKey("list_lag", "How late the platform's list of hosts may be.",
		2*time.Second, 100*time.Millisecond, 5*time.Minute, func(s *Settings) *time.Duration { return &s.ListLag }),
	durationKey("cut_off_after", "Time without the platform and without most other routers after which new requests are refused.",
		2*time.Second, 500*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.CutOffAfter }),
	flagKey("registered", "Whether the platform itself registers the endpoints and holds the configuration, as the adapter in `platform/` reads it; otherwise the environment's document says it all.",
		func(s *Settings) *bool { return &s.Registered }),
	durationKey("revoke_bound", "Time after which a key that was taken away must not be served anywhere; a router that has no newer word from the platform refuses requests with a key.",
		5*time.Second, time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.RevokeBound }),
	durationKey("grace", "Time from the signal to stop to the end of the process, whatever still runs then; requests that are still in progress shortly before are refused.",
		10*time.Minute, time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.Grace }),
	durationKey("handed_over_grace", "Time beyond `grace` for which requests that other routers handed over go on: the router that accepted one may stop later than this one.",
		0, 0, time.Hour, func(s *Settings) *time.Duration { return &s.HandedOverGrace }),
	numberKey("processor_share", "Cores that the process may use; hosts with the most of them dispatch, and one that uses half of them hands new connections over. Zero is not known.",
		0, 0, 1024, func(s *Settings) *float64 { return &s.ProcessorShare }),
	crossingKey(),
	durationKey("crossing_byte_cost", "Time that a megabyte between data centres is worth; the greater, the fewer requests leave to be answered sooner.",
		20*time.Millisecond, 0, 10*time.Second, func(s *Settings) *time.Duration { return &s.CrossingByteCost }),
	numberKey("retry_ratio", "Retries that each request of a pool earns, in the whole fleet.", 0.2, 0, 10, func(s *Settings) *float64 { return &s.RetryRatio }),
	numberKey("retry_burst", "Retries of a pool that may be saved up, in the whole fleet.", 20, 0, 100_000, func(s *Settings) *float64 { return &s.RetryBurst }),
	durationKey("retry_window", "Period for which the platform counts retries, those before a restart included: until it has passed, a router that has just started has one retry of a pool beside those that requests earn. Zero is all at once. Allowed with `registered` only.",
		0, 0, 10*time.Minute, func(s *Settings) *time.Duration { return &s.RetryWindow }),
	numberKey("cold_factor", "Factor of the rate of requests that the configuration allows a cold endpoint.", 1, 0.01, 100, func(s *Settings) *float64 { return &s.ColdFactor }),
	numberKey("cold_slack", "Requests a second that a cold endpoint bears beyond that.", 0, 0, 10_000, func(s *Settings) *float64 { return &s.ColdSlack }),
	optionalNumberKey("rollout_share", "Largest part of a service's requests that a bad software version may get between an operator's order to roll it out and the order's deadline. Zero means that there are no roll-outs; allowed with `registered` only; the same in the whole environment.",
		0, 0, 1, func(s *Settings) *float64 { return &s.RolloutShare }),
	optionalNumberKey("rollout_slack", "Requests that a bad version may get beyond `rollout_share`.", 0, 0, 1_000_000, func(s *Settings) *float64 { return &s.RolloutSlack }),
	durationKey("rollout_rollback", "Time after the fiftieth bad answer of a version from which on no request may be sent to it.",
		5*time.Second, 500*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.RolloutRollback }),
	intKey("memory_limit", "Memory of the process, in MiB; the garbage collector works harder when three quarters of it are in use; of these, an eighth of the whole is for answers that are being read, 24 MiB for the process itself, and the rest for all that is held for callers and endpoints, an eighth of the whole at least. Callers' connections get half of it at most. Zero is no limit.",
		0, 0, 1_000_000, func(s *Settings) *int { return &s.MemoryLimit }),
	intKey("max_descriptors", "Descriptors that the process may open; callers get half of them at most, since each request may need one to an endpoint. Zero is no limit.",
		0, 0, 10_000_000, func(s *Settings) *int { return &s.MaxDescriptors }),
	intKey("keyed_rate", "Most requests with an `Idempotency-Key` a second in the whole fleet; each costs the platform three writes; the same in the whole environment.",
		100, 1, 10_000, func(s *Settings) *int { return &s.KeyedRate }),
	durationKey("keyed_retention", "How long the outcome of a request with an `Idempotency-Key` is kept; a repeat after that runs again.",
		6*time.Hour, 10*time.Minute, 7*24*time.Hour, func(s *Settings) *time.Duration { return &s.KeyedRetention }),
	durationKey("connect_timeout", "Limit of the time to connect to an endpoint.",
		time.Second, 50*time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.ConnectTimeout }),
	durationKey("answer_timeout", "Longest time from the send of a request to the head of its answer.",
		2*time.Minute, time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.AnswerTimeout }),
	durationKey("event_timeout", "Longest silence within a streamed answer; comments end a silence. Streams that may not be resumed, on routes with a timeout, are awaited up to that.",
		5*time.Second, 100*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.EventTimeout }),
	durationKey("idle_reuse", "Longest idle time after which a connection still carries a call that may not be repeated.",
		time.Second, 0, time.Minute, func(s *Settings) *time.Duration { return &s.IdleReuse }),
	durationKey("body_timeout", "Limit of the time in which a caller sends a whole request.",
		30*time.Second, time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.BodyTimeout }),
	durationKey("body_grace", "Time in which the body of a request may arrive at any rate; see `body_rate`.",
		10*time.Second, 100*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.BodyGrace }),
	intKey("body_rate", "Least rate of a body after `body_grace`, in bytes per second, on average; a request whose body falls below it is refused with 408. Zero is no least rate.",
		0, 0, 1_000_000, func(s *Settings) *int { return &s.BodyRate }),
	durationKey("write_timeout", "Longest time in which a caller may read nothing of its answer; after that its connection is closed. Endpoints abort answers that stay unread for some seconds, so a shorter time than that is best where memory is short.",
		30*time.Second, time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.WriteTimeout }),
	intKey("max_header", "Largest header of a request, in bytes.", 16*kilobyte, kilobyte, megabyte, func(s *Settings) *int { return &s.MaxHeader }),
	intKey("max_body", "Largest body of a request, in bytes.", 4*megabyte, kilobyte, 64*megabyte, func(s *Settings) *int { return &s.MaxBody }),
	intKey("max_callers", "Most open connections of callers.", 4096, 1, 1_000_000, func(s *Settings) *int { return &s.MaxCallers }),
}

func nameKey(name, text string, field func(*Settings) *string) Key {
	return Key{
		Name: name, Text: text, Required: true,
		Allowed: `text of 1 to 63 of a-z, 0-9, "." and "-", such as "khomas-1"`,
		set: func(s *Settings, v toml.Value) bool {
			return v.Text(field(s)) && namePattern.MatchString(*field(s))
		},
	}
}

func optionalNameKey(name, text string, field func(*Settings) *string) Key {
	key := nameKey(name, text, field)
	key.Required, key.initial, key.setDefault = false, "none", func(s *Settings) { *field(s) = "" }
	return key
}

// addressKey returns a required key for an IP address and port. If specific is set, other hosts connect to the
// address, so the unspecified addresses 0.0.0.0 and [::] are rejected.
func addressKey(name, text string, specific bool, field func(*Settings) *netip.AddrPort) Key {
	allowed := `an IP address and port, such as "10.1.2.3:8080"`
	if specific {
		allowed += `, not 0.0.0.0 or [::]`
	}
	return Key{
		Name: name, Text: text, Required: true, Allowed: allowed,
		set: func(s *Settings, v toml.Value) bool {
			var given string
			if !v.Text(&given) {
				return false
			}
			address, err := netip.ParseAddrPort(given)
			*field(s) = address
			return err == nil && address.Port() != 0 && (!specific || !address.Addr().IsUnspecified())
		},
	}
}

// optionalAddressKey returns an optional key for an address that other hosts connect to; it must not be 0.0.0.0 or [::].
func optionalAddressKey(name, text string, field func(*Settings) *netip.AddrPort) Key {
	key := addressKey(name, text, true, field)
	key.Required, key.initial, key.setDefault = false, "none", func(s *Settings) { *field(s) = netip.AddrPort{} }
	return key
}

func durationKey(name, text string, initial, least, most time.Duration, field func(*Settings) *time.Duration) Key {
	return Key{
		Name: name, Text: text, initial: formatDuration(initial),
		Allowed:    fmt.Sprintf(`a duration from "%s" to "%s"`, formatDuration(least), formatDuration(most)),
		setDefault: func(s *Settings) { *field(s) = initial },
		set:        func(s *Settings, v toml.Value) bool { return v.Duration(field(s), least, most) },
	}
}

func intKey(name, text string, initial, least, most int, field func(*Settings) *int) Key {
	return Key{
		Name: name, Text: text, initial: strconv.Itoa(initial),
		Allowed:    fmt.Sprintf("a whole number from %d to %d", least, most),
		setDefault: func(s *Settings) { *field(s) = initial },
		set: func(s *Settings, v toml.Value) bool {
			var given int64
			ok := v.Integer(&given, int64(least), int64(most))
			*field(s) = int(given)
			return ok
		},
	}
}

func flagKey(name, text string, field func(*Settings) *bool) Key {
	return Key{
		Name: name, Text: text, initial: "false", Allowed: "true or false",
		setDefault: func(s *Settings) { *field(s) = false },
		set:        func(s *Settings, v toml.Value) bool { return v.Flag(field(s)) },
	}
}

// numberKey returns a key for a decimal number, which is written as a quoted string.
func numberKey(name, text string, initial, least, most float64, field func(*Settings) *float64) Key {
	form := func(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }
	return Key{
		Name: name, Text: text, initial: form(initial),
		Allowed:    fmt.Sprintf(`a quoted number from "%s" to "%s"`, form(least), form(most)),
		setDefault: func(s *Settings) { *field(s) = initial },
		set: func(s *Settings, v toml.Value) bool {
			var given string
			if !v.Text(&given) {
				return false
			}
			number, err := strconv.ParseFloat(given, 64)
			*field(s) = number
			return err == nil && number >= least && number <= most
		},
	}
}

// optionalNumberKey is numberKey for a value that a rendered template may leave empty, which means the default.
func optionalNumberKey(name, text string, initial, least, most float64, field func(*Settings) *float64) Key {
	key := numberKey(name, text, initial, least, most, field)
	set := key.set
	key.Allowed = `"" or ` + key.Allowed
	key.set = func(s *Settings, v toml.Value) bool {
		var given string
		if v.Text(&given) && given == "" {
			*field(s) = initial
			return true
		}
		return set(s, v)
	}
	return key
}

func peerKeyKey() Key {
	return Key{
		Name: "peer_key", Secret: true,
		Text:    "Secret that all routers of the environment share; links prove it before anything else. `peer_key` or `peer_key_file` is required.",
		Allowed: fmt.Sprintf("text of %d to %d bytes", minPeerKey, maxPeerKey),
		set: func(s *Settings, v toml.Value) bool {
			var given string
			ok := v.Text(&given)
			s.PeerKey = []byte(given)
			return ok && isValidPeerKey(s.PeerKey)
		},
	}
}

func peerKeyFileKey() Key {
	return Key{
		Name:    "peer_key_file",
		Text:    "File that holds the secret, in place of `peer_key`; space at its ends does not count.",
		Allowed: fmt.Sprintf("the path of a readable file of %d to %d bytes", minPeerKey, maxPeerKey),
		set: func(s *Settings, v toml.Value) bool {
			var given string
			if !v.Text(&given) {
				return false
			}
			data, err := os.ReadFile(given)
			s.PeerKey = bytes.TrimSpace(data)
			return err == nil && isValidPeerKey(s.PeerKey)
		},
	}
}

func isValidPeerKey(key []byte) bool {
	return len(key) >= minPeerKey && len(key) <= maxPeerKey
}

func levelKey() Key {
	return Key{
		Name: "log_level", Text: "Least level of what is logged.", initial: "info",
		Allowed:    `"debug", "info", "warning" or "error"`,
		setDefault: func(s *Settings) { s.LogLevel = logrus.InfoLevel },
		set: func(s *Settings, v toml.Value) bool {
			var given string
			ok := v.Text(&given)
			level, err := logrus.ParseLevel(given)
			s.LogLevel = level
			return ok && err == nil && slices.Contains([]string{"debug", "info", "warning", "error"}, given)
		},
	}
}

func formatKey() Key {
	return Key{
		Name: "log_format", Text: "Form of the log.", initial: "text", Allowed: `"text" or "json"`,
		setDefault: func(s *Settings) { s.LogFormat = "text" },
		set: func(s *Settings, v toml.Value) bool {
			return v.Text(&s.LogFormat) && (s.LogFormat == "text" || s.LogFormat == "json")
		},
	}
}

func crossingKey() Key {
	return Key{
		Name: "crossing", initial: "auto", Allowed: `"auto", "always" or "never"`,
		Text:       "Where the dispatcher decides which requests are worth sending to another data centre: in pools of engines that report their pace (auto), in all cells (always), or in none; calls of a service whose endpoints report their pace are always left out. Elsewhere an endpoint there costs 10 ms.",
		setDefault: func(s *Settings) { s.Crossing = crossing.Auto },
		set: func(s *Settings, v toml.Value) bool {
			var given string
			ok := v.Text(&given)
			mode, known := crossing.ParseMode(given)
			s.Crossing = mode
			return ok && known
		},
	}
}

// formatDuration returns a duration as text, without zero seconds after minutes: "10m", not "10m0s".
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	return text
}
