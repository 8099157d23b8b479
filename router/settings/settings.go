package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/toml"
)

// Settings holds the settings of a router process; key.go has the default and the range of each.
type Settings struct {
	Host            cell.HostID
	DataCentre      string
	Region          string // Region is empty if the environment has only one region.
	Environment     string // Environment is the environment whose configuration document the router uses.
	CallersAddress  netip.AddrPort
	OperatorAddress netip.AddrPort
	PeerAddress     netip.AddrPort
	OthersAddress   netip.AddrPort // OthersAddress is the address at which this router accepts callers' connections that other routers forward to it; the zero value means that it accepts none.
	PlatformAddress netip.AddrPort
	PeerKey         []byte // PeerKey is the secret by which routers authenticate each other.
	LogLevel        logrus.Level
	LogFormat       string

	BalancerLag time.Duration // BalancerLag is the delay from the first failed health check of a router that is shutting down to the close of its listener.
	StrainLate  time.Duration // StrainLate is the scheduling delay at or above which the router counts as overloaded: it refuses excess requests, so that callers try other routers, and fails health checks if the overload lasts; zero means never.

	ProcessorShare float64       // ProcessorShare is the number of cores that the process may use; zero means not known.
	Heartbeat      time.Duration // Heartbeat is the longest silence on a link between routers before a heartbeat is sent.
	IdleHeartbeat  time.Duration // IdleHeartbeat replaces Heartbeat on links over which no requests for grants are sent; zero means Heartbeat.
	LinkSilent     time.Duration // LinkSilent is the silence after which a link is closed and dialled again.
	DialTimeout    time.Duration // DialTimeout is the longest time to connect to another router.
	StakeLease     time.Duration // StakeLease is how long a dispatcher counts a router's stake (its vote). It runs from when the dispatcher sent the newest frame that the router has acknowledged.
	GrantValid     time.Duration // GrantValid is the age up to which a router uses a grant, the permission to send a request to an endpoint.
	LoadPoll       time.Duration // LoadPoll is the interval at which a dispatcher requests the load report of an endpoint.
	ReportLag      time.Duration // ReportLag is the maximum age of a load report when the endpoint sends it; the router treats each report as sampled that long before it was requested.
	ListLag        time.Duration // ListLag is how far the platform's list of hosts may be out of date.
	CutOffAfter    time.Duration // CutOffAfter is the time without contact with the platform and with most other routers after which the router refuses new requests.

	Registered      bool          // Registered is set if the endpoints and the configuration come from the platform's registry; otherwise they come from the configuration document of Environment.
	RevokeBound     time.Duration // RevokeBound is the time after which a revoked API key must not be served by any router.
	HandedOverGrace time.Duration // HandedOverGrace is how much longer than Grace the requests that other routers handed over go on.
	Grace           time.Duration // Grace is the longest time from the stop signal to the end of the process; the process then ends even if requests are still running.
	RetryRatio      float64       // RetryRatio is the number of retries that each request adds to the retry budget of its pool, in all routers together.
	RetryBurst      float64       // RetryBurst is the maximum retry budget that a pool can save up, in all routers together.
	RetryWindow     time.Duration // RetryWindow is the period for which retries are counted, those before a restart included; zero if a restart begins anew.
	ColdFactor      float64       // ColdFactor multiplies the request rate that the configuration allows a cold endpoint, one that is still warming up.
	ColdSlack       float64       // ColdSlack is added to the request rate of a cold endpoint after ColdFactor is applied, in requests per second.
	RolloutShare    float64       // RolloutShare is the largest fraction of a service's requests that a bad version may get between an order and its deadline; zero means that there are no roll-outs.
	RolloutSlack    float64       // RolloutSlack is the number of requests that a bad version may get beyond RolloutShare.
	RolloutRollback time.Duration // RolloutRollback is the time after the fiftieth bad answer of a version from which no request may be sent to it.
	MemoryLimit     int           // MemoryLimit is the memory of the process, in MiB; zero means no limit.

	Crossing         crossing.Mode // Crossing says in which cells the dispatcher decides which requests are worth sending to another data centre.
	CrossingByteCost time.Duration // CrossingByteCost is the time that a megabyte between data centres is worth.

	KeyedRate      int           // KeyedRate is the maximum number of requests with an Idempotency-Key per second, in all routers together.
	KeyedRetention time.Duration // KeyedRetention is how long the outcome of a request with an Idempotency-Key is kept; a later repeat runs again.

	ConnectTimeout time.Duration // ConnectTimeout is the longest time to connect to an endpoint.
	AnswerTimeout  time.Duration // AnswerTimeout is the longest time from sending a request to the header of its answer.
	EventTimeout   time.Duration // EventTimeout is the longest silence within a streamed answer.
	IdleReuse      time.Duration // IdleReuse is the longest idle time after which a connection is still used for a non-idempotent request.
	BodyTimeout    time.Duration // BodyTimeout is the longest time for a caller to send a whole request.
	BodyGrace      time.Duration // BodyGrace is the time in which a body may arrive at any rate.
	BodyRate       int           // BodyRate is the least number of bytes per second in which a body must arrive after BodyGrace; zero means no minimum.
	WriteTimeout   time.Duration // WriteTimeout is the longest time in which a caller may read nothing of its answer.
	MaxHeader      int           // MaxHeader is the largest header of a request, in bytes.
	MaxBody        int           // MaxBody is the largest body of a request, in bytes.
	MaxCallers     int           // MaxCallers is the maximum number of open connections of callers.
	MaxDescriptors int           // MaxDescriptors is the number of file descriptors that the process may open; zero means no limit.
}

// Load reads and validates a settings file. It returns an Error if the file can't be read, else the errors of Parse.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Err: trace.ConvertSystemError(err)}
	}
	return Parse(file, data)
}

// Parse parses and validates the content of a settings file; file is used in errors only. It returns an Error for
// invalid TOML, else a joined error with one Error for each invalid key. Rules that span several keys are checked
// only if each key is valid by itself.
func Parse(file string, data []byte) (*Settings, error) {
	r := &reader{Reader: toml.New(data), settings: &Settings{}, present: map[string]bool{}}
	for _, key := range keys {
		if key.setDefault != nil {
			key.setDefault(r.settings)
		}
	}
	top := toml.Bind(r.fields(), r.settings)
	noTable := func(string) toml.Item { return nil }
	if err := r.Read(toml.Schema{Top: top, Open: noTable, Tables: allowedKeys}); err != nil {
		return nil, syntaxError(file, err)
	}
	if r.Err() == nil {
		r.checkCombinations()
	}
	if err := r.Err(); err != nil {
		return nil, keyErrors(file, err)
	}
	return r.settings, nil
}

// reader parses one settings file.
type reader struct {
	*toml.Reader
	settings *Settings
	present  map[string]bool // present holds the keys that are in the file.
}

// fields returns the keys as fields for the TOML reader; their setters also record which keys are present.
func (r *reader) fields() []toml.Field[Settings] {
	fields := make([]toml.Field[Settings], 0, len(keys))
	for _, key := range keys {
		set := func(s *Settings, v toml.Value) bool {
			r.present[key.Name] = true
			return key.set(s, v)
		}
		fields = append(fields, toml.Field[Settings]{Name: key.Name, Required: key.Required, Allowed: key.Allowed, Set: set})
	}
	return fields
}

// checkCombinations adds an error for each violated rule that spans several keys.
func (r *reader) checkCombinations() {
	s := r.settings
	r.check(len(s.PeerKey) > 0, "peer_key", "one of peer_key and peer_key_file")
	r.check(!r.present["peer_key"] || !r.present["peer_key_file"], "peer_key_file", "only one of peer_key and peer_key_file")
	r.check(s.LinkSilent >= 2*s.Heartbeat, "link_silent", "at least twice heartbeat")
	r.check(s.IdleHeartbeat == 0 || s.Registered && s.IdleHeartbeat >= s.Heartbeat, "idle_heartbeat", "at least heartbeat, with registered = true only")
	r.check(s.RetryWindow == 0 || s.Registered, "retry_window", "zero, or with registered = true only")
	r.check(s.RolloutShare == 0 || s.Registered, "rollout_share", "zero, or with registered = true only")
	r.check(s.StakeLease > s.LinkSilent, "stake_lease", "more than link_silent")
	r.check(s.GrantValid < s.StakeLease, "grant_valid", "less than stake_lease")
	r.check(s.CallersAddress != s.OperatorAddress, "operator_address", "another address than callers_address")
	r.check(s.CallersAddress != s.PeerAddress, "peer_address", "another address than callers_address")
}

// check adds an error for a key unless holds is true.
func (r *reader) check(holds bool, key, allowed string) {
	if !holds {
		r.FailAt("", 0, key, allowed)
	}
}
