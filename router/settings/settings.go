package settings

import (
	"errors"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
)

// Settings is what a router process is told when it starts.
type Settings struct {
	Host            cell.HostID
	DataCentre      string
	Environment     string
	CallersAddress  netip.AddrPort
	OperatorAddress netip.AddrPort
	PeerAddress     netip.AddrPort
	PlatformAddress netip.AddrPort
	PeerKey         []byte
	LogLevel        logrus.Level
	LogFormat       string

	BalancerLag time.Duration
	Heartbeat   time.Duration
	LinkSilent  time.Duration
	DialTimeout time.Duration
	StakeLease  time.Duration
	GrantValid  time.Duration
	LoadPoll    time.Duration
	ReportLag   time.Duration
	ListLag     time.Duration
	CutOffAfter time.Duration

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
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return nil, syntaxError(file, err)
	}
	reader := &reader{file: file, lines: lines(data), values: values}
	settings := reader.read()
	reader.checkUnknown()
	reader.checkTogether(settings)
	if len(reader.found) > 0 {
		return nil, errors.Join(reader.sorted()...)
	}
	return settings, nil
}

func syntaxError(file string, err error) error {
	wrong := &Error{File: file, Err: err}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		wrong.Line, _ = syntax.Position()
		wrong.Err = trace.BadParameter("%s", strings.TrimPrefix(syntax.Error(), "toml: "))
	}
	return wrong
}

// reader collects what is wrong with a file.
type reader struct {
	file   string
	lines  map[string]int
	values map[string]any
	found  []*Error
}

func (r *reader) read() *Settings {
	settings := &Settings{}
	for _, key := range keys {
		value, given := r.values[key.Name]
		switch {
		case !given && key.Required:
			r.add(&Error{Key: key.Name, Allowed: key.Allowed, Missing: true})
			continue
		case !given && key.initial == nil:
			continue
		case !given:
			value = key.initial
		}
		if !key.set(settings, value) {
			r.add(&Error{Key: key.Name, Value: shown(key, value), Allowed: key.Allowed})
		}
	}
	return settings
}

func (r *reader) checkUnknown() {
	for name := range r.values {
		if !slices.ContainsFunc(keys, func(key Key) bool { return key.Name == name }) {
			r.add(&Error{Key: name, Unknown: true, Allowed: "the keys of docs/SETTINGS.md" + similar(name)})
		}
	}
}

// checkTogether checks what depends on several keys.
func (r *reader) checkTogether(s *Settings) {
	if len(r.found) > 0 {
		return
	}
	r.require(len(s.PeerKey) > 0, "peer_key", "", "one of peer_key and peer_key_file")
	_, key := r.values["peer_key"]
	_, keyFile := r.values["peer_key_file"]
	r.require(!key || !keyFile, "peer_key_file", "", "only one of peer_key and peer_key_file")
	r.require(s.LinkSilent >= 2*s.Heartbeat, "link_silent", s.LinkSilent.String(), "at least twice heartbeat")
	r.require(s.StakeLease > s.LinkSilent, "stake_lease", s.StakeLease.String(), "more than link_silent")
	r.require(s.GrantValid < s.StakeLease, "grant_valid", s.GrantValid.String(), "less than stake_lease")
	r.require(s.CallersAddress != s.OperatorAddress, "operator_address", s.OperatorAddress.String(), "another address than callers_address")
	r.require(s.CallersAddress != s.PeerAddress, "peer_address", s.PeerAddress.String(), "another address than callers_address")
}

func (r *reader) require(holds bool, key, value, allowed string) {
	if !holds {
		r.add(&Error{Key: key, Value: value, Allowed: allowed})
	}
}

func (r *reader) add(wrong *Error) {
	wrong.File = r.file
	wrong.Line = r.lines[wrong.Key]
	r.found = append(r.found, wrong)
}

func (r *reader) sorted() []error {
	slices.SortFunc(r.found, func(a, b *Error) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return strings.Compare(a.Key, b.Key)
	})
	all := make([]error, 0, len(r.found))
	for _, wrong := range r.found {
		all = append(all, wrong)
	}
	return all
}
