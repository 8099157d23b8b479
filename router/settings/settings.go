package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/toml"
)

// Settings is what a router process is told when it starts.
type Settings struct {
	Host            cell.HostID
	DataCentre      string
	Region          string // Region is empty where there is one only.
	Environment     string
	CallersAddress  netip.AddrPort
	OperatorAddress netip.AddrPort
	PeerAddress     netip.AddrPort
	OthersAddress   netip.AddrPort // OthersAddress is invalid if other routers hand over nothing.
	PlatformAddress netip.AddrPort
	PeerKey         []byte
	LogLevel        logrus.Level
	LogFormat       string

	BalancerLag time.Duration
	StrainLate  time.Duration

	ProcessorShare float64
	Heartbeat      time.Duration
	IdleHeartbeat  time.Duration
	LinkSilent     time.Duration
	DialTimeout    time.Duration
	StakeLease     time.Duration
	GrantValid     time.Duration
	LoadPoll       time.Duration
	ReportLag      time.Duration
	ListLag        time.Duration
	CutOffAfter    time.Duration

	Registered  bool
	RevokeBound time.Duration
	Grace       time.Duration
	RetryRatio  float64
	RetryBurst  float64
	ColdFactor  float64
	ColdSlack   float64
	MemoryLimit int // MemoryLimit is in MiB; zero is no limit.

	KeyedRate      int // KeyedRate bounds the keyed requests of the fleet, a second.
	KeyedRetention time.Duration

	ConnectTimeout time.Duration
	AnswerTimeout  time.Duration
	EventTimeout   time.Duration
	IdleReuse      time.Duration
	BodyTimeout    time.Duration
	MaxHeader      int
	MaxBody        int
	MaxCallers     int
	MaxDescriptors int
}

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Err: trace.ConvertSystemError(err)}
	}
	return Parse(file, data)
}

// Parse checks the content of a settings file; all that is wrong is in the error.
func Parse(file string, data []byte) (*Settings, error) {
	r := &reader{Reader: toml.New(data), settings: &Settings{}, given: map[string]bool{}}
	for _, key := range keys {
		if key.preset != nil {
			key.preset(r.settings)
		}
	}
	top := toml.Bind(r.fields(), r.settings)
	noTable := func(string) toml.Item { return nil }
	if err := r.Read(toml.Schema{Top: top, Open: noTable, Tables: allowedKeys}); err != nil {
		return nil, syntaxError(file, err)
	}
	if r.Err() == nil {
		r.checkTogether()
	}
	if err := r.Err(); err != nil {
		return nil, keyErrors(file, err)
	}
	return r.settings, nil
}

// reader reads one file.
type reader struct {
	*toml.Reader
	settings *Settings
	given    map[string]bool // given are the keys that are in the file.
}

// fields returns the keys as the reader of TOML wants them.
func (r *reader) fields() []toml.Field[Settings] {
	fields := make([]toml.Field[Settings], 0, len(keys))
	for _, key := range keys {
		set := func(s *Settings, v toml.Value) bool {
			r.given[key.Name] = true
			return key.set(s, v)
		}
		fields = append(fields, toml.Field[Settings]{Name: key.Name, Required: key.Required, Allowed: key.Allowed, Set: set})
	}
	return fields
}

// checkTogether checks what depends on several keys.
func (r *reader) checkTogether() {
	s := r.settings
	r.require(len(s.PeerKey) > 0, "peer_key", "one of peer_key and peer_key_file")
	r.require(!r.given["peer_key"] || !r.given["peer_key_file"], "peer_key_file", "only one of peer_key and peer_key_file")
	r.require(s.LinkSilent >= 2*s.Heartbeat, "link_silent", "at least twice heartbeat")
	r.require(s.IdleHeartbeat == 0 || s.Registered && s.IdleHeartbeat >= s.Heartbeat, "idle_heartbeat", "at least heartbeat, with registered = true only")
	r.require(s.StakeLease > s.LinkSilent, "stake_lease", "more than link_silent")
	r.require(s.GrantValid < s.StakeLease, "grant_valid", "less than stake_lease")
	r.require(s.CallersAddress != s.OperatorAddress, "operator_address", "another address than callers_address")
	r.require(s.CallersAddress != s.PeerAddress, "peer_address", "another address than callers_address")
}

func (r *reader) require(holds bool, key, allowed string) {
	if !holds {
		r.FailAt("", 0, key, allowed)
	}
}
