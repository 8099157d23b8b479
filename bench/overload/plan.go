package overload

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Span is a time.Duration that settings write as in "600ms".
type Span time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err == nil && span < 0 {
		err = errors.New("a time is not below zero")
	}
	*s = Span(span)
	return err
}

// Plan describes a load and the engines that it meets.
type Plan struct {
	Seed     uint64   `toml:"seed"`
	Length   Span     `toml:"length"`
	Policies []string `toml:"policies"` // Policies are the ways to compare; all of them when empty.
	Routers  int      `toml:"routers"`
	Engines  int      `toml:"engines"`
	Memory   int      `toml:"memory"` // Memory of an engine, in tokens.
	Slots    int      `toml:"slots"`
	Stride   int      `toml:"stride"` // Stride is the number of tokens in an event.
	Way      Span     `toml:"way"`    // Way is the time from one process to another.
	Teams    int      `toml:"teams"`
	Skew     float64  `toml:"skew"`      // Skew is the power of the teams' sizes: team n is 1/n to that power as large as the first.
	FairRate float64  `toml:"fair_rate"` // FairRate is what teams share, in tokens a second.
	AtOnce   float64  `toml:"at_once"`   // AtOnce is the part of the refused callers that come back at once, whatever they were told.
	Kinds    []Kind   `toml:"kind"`
	Waves    []Wave   `toml:"wave"`
	Faults   []Fault  `toml:"fault"`
}

// Kind is a kind of request.
type Kind struct {
	Name     string  `toml:"name"`
	Rate     float64 `toml:"rate"`   // Rate is in requests a second.
	Shared   int     `toml:"shared"` // Shared is the mean length of the part that requests share, in tokens.
	Parts    int     `toml:"parts"`  // Parts is the number of such parts.
	Own      int     `toml:"own"`    // Own is the mean length of a request's own part,
	Spread   float64 `toml:"spread"` // Spread the standard deviation of its logarithm,
	Most     int     `toml:"most"`   // Most its greatest length; zero is no bound.
	Output   int     `toml:"output"` // Output is the mean number of generated tokens.
	Aim      Span    `toml:"aim"`    // Aim is the time to the first event within which an answer is on time.
	Gap      Span    `toml:"gap"`    // Gap is the longest pause between events of an answer that is on time.
	Deadline Span    `toml:"deadline"`
	Worth    float64 `toml:"worth"`
	Late     float64 `toml:"late"` // Late is the worth of a late answer.
}

// Wave raises the rates of some teams and kinds for a while.
type Wave struct {
	From   Span    `toml:"from"`
	To     Span    `toml:"to"`
	Factor float64 `toml:"factor"`
	Team   int     `toml:"team"` // Team is 1 for the largest; zero raises all.
	Kind   int     `toml:"kind"` // Kind is 1 for the first; zero raises all.
}

// Fault changes an engine for a while.
type Fault struct {
	From   Span    `toml:"from"`
	To     Span    `toml:"to"`
	Engine int     `toml:"engine"` // Engine is 1 for the first.
	Slow   float64 `toml:"slow"`   // Slow stretches its steps; zero stops the engine, which then keeps nothing.
	Fails  float64 `toml:"fails"`  // Fails is the part of its requests that fail at once.
}

// ReadPlan reads a plan from a file.
func ReadPlan(file string) (*Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	plan, err := ParsePlan(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return plan, nil
}

// ParsePlan reads a plan; its errors name the line and the key.
func ParsePlan(data []byte) (*Plan, error) {
	plan := &Plan{Seed: 1, Length: Span(20 * time.Second), Routers: 7, Engines: 9, Way: Span(time.Millisecond), Teams: 16, Skew: 1}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(plan); err != nil {
		return nil, readable(err)
	}
	for i := range plan.Kinds {
		plan.Kinds[i].Spread = cmp.Or(plan.Kinds[i].Spread, ownSpread)
	}
	return plan, plan.check()
}

func readable(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		row, _ := unknown.Errors[0].Position()
		return fmt.Errorf("line %d: %s is not a key of a plan", row, strings.Join(unknown.Errors[0].Key(), "."))
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, _ := wrong.Position()
		return fmt.Errorf("line %d: %s: %w", row, strings.Join(wrong.Key(), "."), err)
	}
	return err
}

func (p *Plan) check() error {
	for _, one := range []struct {
		key   string
		value float64
		least float64
	}{
		{"routers", float64(p.Routers), 1},
		{"engines", float64(p.Engines), 1},
		{"teams", float64(p.Teams), 1},
		{"length", time.Duration(p.Length).Seconds(), 1},
		{"kind", float64(len(p.Kinds)), 1},
		{"skew", p.Skew, 0},
		{"fair_rate", p.FairRate, 0},
		{"at_once", p.AtOnce, 0},
	} {
		if one.value < one.least {
			return fmt.Errorf("%s is %v; at least %v is needed", one.key, one.value, one.least)
		}
	}
	for _, name := range p.Policies {
		if policies[name] == nil {
			return fmt.Errorf("policies: %q is none; there are %v", name, PolicyNames())
		}
	}
	for i, kind := range p.Kinds {
		if kind.Rate <= 0 || kind.Own < 1 || kind.Output < 1 || kind.Shared < 0 || kind.Aim < Span(time.Millisecond) {
			return fmt.Errorf("kind %d (%q): rate, own and output must be above zero, aim at least \"1ms\"", i+1, kind.Name)
		}
	}
	for i, fault := range p.Faults {
		if fault.Engine < 1 || fault.Engine > p.Engines {
			return fmt.Errorf("fault %d: engine is %d; there are engines 1 to %d", i+1, fault.Engine, p.Engines)
		}
	}
	return nil
}
