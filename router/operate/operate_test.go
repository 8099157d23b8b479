package operate_test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/core/config"
	"ryelug/core/result"
	"ryelug/io/platform"
	"ryelug/router/operate"
	"ryelug/router/publish"
	"ryelug/standin/bubble"
	"ryelug/standin/network"
	standin "ryelug/standin/platform"
)

const (
	trial      = "trial"
	production = "production"

	near     = time.Millisecond
	far      = 7 * time.Millisecond
	patience = time.Second

	// raceSpan is longer than a change from the far host takes; raceStep is less than one call of the near host.
	raceSpan = 160 * time.Millisecond
	raceStep = time.Millisecond
)

var (
	store    = netip.MustParseAddrPort("10.0.0.1:80")
	nearHost = netip.MustParseAddr("10.0.0.2")
	farHost  = netip.MustParseAddr("10.0.0.3")
)

// site is a platform with two environments, and two operators' hosts.
type site struct {
	*testing.T
	is      *is.I
	network *network.Network
	server  *standin.Server
}

// withSite runs a test in virtual time, with a document of share 1 in force in both environments.
func withSite(t *testing.T, test func(s *site)) {
	t.Helper()
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		s := &site{T: t, is: is.New(t), network: network.New(network.Config{Delay: delay}), server: standin.New(standin.Config{})}
		listener, err := s.network.Listen(store)
		s.is.NoErr(err)
		served := make(chan error, 1)
		go func() { served <- s.server.Serve(listener) }()
		for _, environment := range []string{trial, production} {
			s.is.NoErr(s.operator(nearHost, environment).Apply(t.Context(), operate.Application{Document: document(environment, 1)}))
		}
		test(s)
		s.server.Close()
		s.is.NoErr(<-served)
		time.Sleep(time.Minute) // The cleaners of connection pools end.
	})
}

func delay(from, to netip.Addr) time.Duration {
	if from == farHost || to == farHost {
		return far
	}
	return near
}

func document(environment string, share int) *config.Document {
	return &config.Document{
		Environment: environment,
		Teams:       []config.Team{{Name: "kiosks", Share: share}},
		DataCentres: []config.DataCentre{{Name: "khomas-a", Region: "khomas"}, {Name: "khomas-b", Region: "khomas"}},
		Pools: []config.Pool{{
			Name: "chat", Kind: config.Engine, Model: "small", QueueLimit: 10, QueueTimeout: time.Second,
			LongestRequest: time.Minute, LargestCost: 100, WarmUpRequests: 4,
		}},
		Endpoints: []config.Endpoint{{
			Name: "engine-1", Pool: "chat", DataCentre: "khomas-a", Address: netip.MustParseAddrPort("192.0.2.1:8000"), WarmLimit: 8, ColdLimit: 2,
		}},
	}
}

// operator returns an operator who prints nothing.
func (s *site) operator(host netip.Addr, environment string) *operate.Operator {
	return s.printing(host, environment, &bytes.Buffer{})
}

func (s *site) printing(host netip.Addr, environment string, to *bytes.Buffer) *operate.Operator {
	o, err := operate.New(operate.Config{
		Platform: store, Environment: environment, Patience: patience, Dial: s.network.Dialer(host), Out: to, Notices: to,
	})
	s.is.NoErr(err)
	return o
}

func (s *site) client(environment string) *platform.Client {
	return platform.New(platform.Config{Address: store, Environment: environment, Dial: s.network.Dialer(nearHost)})
}

// inForce returns what is in force.
func (s *site) inForce(environment string) publish.Snapshot {
	now, err := publish.New(publish.Config{Platform: s.client(environment), Environment: environment}).Read(s.Context())
	s.is.NoErr(err)
	return now
}

// command is one operator's command on production.
type command struct {
	name  string
	run   func(ctx context.Context, o *operate.Operator) error
	shown func(d *config.Document) bool // shown tells that the document has what the command changes.
}

func applied(share int) command {
	return command{
		fmt.Sprintf("apply of share %d", share),
		func(ctx context.Context, o *operate.Operator) error {
			return o.Apply(ctx, operate.Application{Document: document(production, share)})
		},
		func(d *config.Document) bool { return d.Teams[0].Share == share },
	}
}

var (
	promotion = command{
		"promote",
		func(ctx context.Context, o *operate.Operator) error { return o.Promote(ctx, trial, false) },
		func(d *config.Document) bool { return d.Teams[0].Share == 1 && d.Pools[0].QueueLimit == 10 },
	}
	centreOut = command{
		"data-centre out",
		func(ctx context.Context, o *operate.Operator) error {
			return o.DataCentre(ctx, "khomas-b", "out", true)
		},
		func(d *config.Document) bool { return d.DataCentres[1].Out },
	}
	leave = command{
		"endpoint leave",
		func(ctx context.Context, o *operate.Operator) error {
			return o.Endpoint(ctx, "engine-1", "leave", true)
		},
		func(d *config.Document) bool { return d.Endpoints[0].Leaving },
	}
)

func TestRacingCommands(t *testing.T) {
	for _, race := range []struct{ slow, fast command }{
		{applied(9), centreOut},
		{applied(9), applied(8)},
		{leave, centreOut},
		{centreOut, leave},
		{promotion, leave},
	} {
		t.Run(race.slow.name+" against "+race.fast.name, func(t *testing.T) {
			conflicts := 0
			for offset := time.Duration(0); offset < raceSpan; offset += raceStep {
				withSite(t, func(s *site) {
					if s.race(race.slow, race.fast, offset) {
						conflicts++
					}
				})
			}
			is.New(t).True(conflicts > 0) // Some offsets let the changes meet.
		})
	}
}

// race starts a command from the far host and, later, one from the near host; it tells whether one was refused.
func (s *site) race(slow, fast command, offset time.Duration) bool {
	s.is.NoErr(applied(5).run(s.Context(), s.operator(nearHost, production))) // Every command has something to change.
	before := s.inForce(production).Root.Generation
	ended := make(chan error, 1)
	go func() { ended <- slow.run(s.Context(), s.operator(farHost, production)) }()
	time.Sleep(max(offset, time.Nanosecond))
	errs := map[*command]error{&fast: fast.run(s.Context(), s.operator(nearHost, production))}
	errs[&slow] = <-ended
	now := s.inForce(production)
	accepted := uint64(0)
	for one, err := range errs {
		if err == nil {
			accepted++
			continue
		}
		s.is.Equal(result.Of(err), result.Conflict)
		s.is.True(!one.shown(now.Document)) // Nothing of a refused change is in force.
	}
	s.is.Equal(now.Root.Generation, before+accepted)
	s.checkKept(errs, now.Document)
	return accepted == 1
}

// checkKept checks that no change undid what a data centre's or an endpoint's change was accepted for.
func (s *site) checkKept(errs map[*command]error, d *config.Document) {
	s.Helper()
	for one, err := range errs {
		if err == nil && (one.name == centreOut.name || one.name == leave.name) {
			s.is.True(one.shown(d))
		}
	}
}

func TestLostAnswers(t *testing.T) {
	for _, one := range []command{promotion, centreOut, leave} {
		t.Run(one.name, func(t *testing.T) {
			withSite(t, func(s *site) {
				s.is.NoErr(applied(5).run(s.Context(), s.operator(nearHost, production)))
				before := s.inForce(production).Root.Generation
				s.server.SetFaults(standin.Faults{LoseAnswers: -1})
				s.is.NoErr(one.run(s.Context(), s.operator(nearHost, production)))
				s.server.SetFaults(standin.Faults{})
				now := s.inForce(production)
				s.is.Equal(now.Root.Generation, before+1)
				s.is.True(one.shown(now.Document))
			})
		})
	}
}

func TestPlatformDown(t *testing.T) {
	for _, one := range []command{applied(9), promotion, centreOut, leave} {
		t.Run(one.name, func(t *testing.T) {
			withSite(t, func(s *site) {
				s.is.NoErr(applied(5).run(s.Context(), s.operator(nearHost, production)))
				before := s.inForce(production).Root
				s.server.SetFaults(standin.Faults{Down: true})
				s.is.Equal(result.Of(one.run(s.Context(), s.operator(nearHost, production))), result.PlatformDown)
				s.server.SetFaults(standin.Faults{})
				s.is.Equal(s.inForce(production).Root.ChangeID, before.ChangeID)
			})
		})
	}
}

func TestBrokenRoot(t *testing.T) {
	withSite(t, func(s *site) {
		client := s.client(production)
		root, err := client.Get(s.Context(), platform.Roots, platform.CurrentRoot)
		s.is.NoErr(err)
		root.Data = []byte(`{"generation": "none"}`)
		_, err = client.Update(s.Context(), platform.Roots, root)
		s.is.NoErr(err)
		for _, one := range []command{promotion, centreOut, leave} {
			s.is.Equal(result.Of(one.run(s.Context(), s.operator(nearHost, production))), result.BadDocument)
		}
		var out bytes.Buffer
		s.is.NoErr(applied(9).run(s.Context(), s.printing(nearHost, production, &out)))
		s.is.True(strings.Contains(out.String(), "replaces a document that can't be read"))
		now := s.inForce(production)
		s.is.True(applied(9).shown(now.Document))
		s.is.True(now.Root.Generation > 1) // Generations never go back.
	})
}

func TestNothingToDo(t *testing.T) {
	for _, one := range []command{applied(1), promotion} {
		t.Run(one.name, func(t *testing.T) {
			withSite(t, func(s *site) {
				writes := s.server.Calls().Writes
				s.is.NoErr(one.run(s.Context(), s.operator(nearHost, production)))
				s.is.Equal(s.server.Calls().Writes, writes)
			})
		})
	}
}

func TestAbove(t *testing.T) {
	withSite(t, func(s *site) {
		above := operate.Application{Document: document(production, 1), Above: 40}
		s.is.NoErr(s.operator(nearHost, production).Apply(s.Context(), above)) // The same document still needs the generation.
		s.is.Equal(s.inForce(production).Root.Generation, uint64(41))
		above.Above = 3
		s.is.NoErr(s.operator(nearHost, production).Apply(s.Context(), above))
		s.is.Equal(s.inForce(production).Root.Generation, uint64(42)) // It never goes back.
	})
}

func TestReadDocument(t *testing.T) {
	write := func(t *testing.T, text string) string {
		name := filepath.Join(t.TempDir(), "d.toml")
		is.New(t).NoErr(os.WriteFile(name, []byte(text), 0o600))
		return name
	}
	for _, wrong := range []struct{ name, text, want string }{
		{"empty", "", "d.toml: line 1: environment: found nothing"},
		{"no TOML", "environment = ", "d.toml: line 1: document"},
		{"not text", "\xff\xfe", "d.toml: line 1: document"},
		{"two faults", "environment = 5\nteams = 1\n", "d.toml: line 2: teams"},
	} {
		t.Run(wrong.name, func(t *testing.T) {
			is := is.New(t)
			_, err := operate.ReadDocument(write(t, wrong.text))
			is.Equal(result.Of(err), result.BadDocument)
			if !strings.Contains(err.Error(), wrong.want) {
				t.Errorf("%v lacks %q", err, wrong.want)
			}
		})
	}
	t.Run("a directory", func(t *testing.T) {
		_, err := operate.ReadDocument(t.TempDir())
		is.New(t).Equal(result.Of(err), result.BadArguments)
	})
}
