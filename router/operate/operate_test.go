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

	nearDelay = time.Millisecond     // nearDelay is the one-way delay between the near host and the platform.
	farDelay  = 7 * time.Millisecond // farDelay is the one-way delay between the far host and the platform.
	patience  = time.Second

	// TestRacingCommands starts the second command at offsets up to maxOffset, which is longer than a
	// change from the far host takes, in steps that are shorter than one call of the near host.
	maxOffset  = 160 * time.Millisecond
	offsetStep = time.Millisecond
)

var (
	platformAddress = netip.MustParseAddrPort("10.0.0.1:80")
	nearHost        = netip.MustParseAddr("10.0.0.2")
	farHost         = netip.MustParseAddr("10.0.0.3")
)

// fixture is a platform with two environments, and a network with a near and a far operator's host.
type fixture struct {
	*testing.T
	is      *is.I
	network *network.Network
	server  *standin.Server
}

// withFixture runs a test in virtual time, with the same document in force in both environments.
func withFixture(t *testing.T, test func(s *fixture)) {
	t.Helper()
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		s := &fixture{T: t, is: is.New(t), network: network.New(network.Config{Delay: delay}), server: standin.New(standin.Config{})}
		listener, err := s.network.Listen(platformAddress)
		s.is.NoErr(err)
		served := make(chan error, 1)
		go func() { served <- s.server.Serve(listener) }()
		for _, environment := range []string{trial, production} {
			s.is.NoErr(s.operator(nearHost, environment).Apply(t.Context(), operate.ApplyRequest{Document: document(environment, 1)}))
		}
		test(s)
		s.server.Close()
		s.is.NoErr(<-served)
		time.Sleep(time.Minute) // Idle connection pools stop their cleanup goroutines in this time.
	})
}

// delay returns the one-way delay between two addresses of the network.
func delay(from, to netip.Addr) time.Duration {
	if from == farHost || to == farHost {
		return farDelay
	}
	return nearDelay
}

// document returns a document in which the only team has the given share.
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

// operator returns an Operator on a host whose output is dropped.
func (s *fixture) operator(host netip.Addr, environment string) *operate.Operator {
	return s.printingOperator(host, environment, &bytes.Buffer{})
}

// printingOperator returns an Operator on a host that prints its output and notices to the buffer.
func (s *fixture) printingOperator(host netip.Addr, environment string, to *bytes.Buffer) *operate.Operator {
	o, err := operate.New(operate.Config{
		Platform: platformAddress, Environment: environment, Patience: patience, Dial: s.network.Dialer(host), Out: to, Notices: to,
	})
	s.is.NoErr(err)
	return o
}

// client returns a client of the platform on the near host.
func (s *fixture) client(environment string) *platform.Client {
	return platform.New(platform.Config{Address: platformAddress, Environment: environment, Dial: s.network.Dialer(nearHost)})
}

// readInForce returns the root and the document in force in an environment.
func (s *fixture) readInForce(environment string) publish.Snapshot {
	current, err := publish.New(publish.Config{Platform: s.client(environment), Environment: environment}).Read(s.Context())
	s.is.NoErr(err)
	return current
}

// command is a command of an operator that changes the environment "production".
type command struct {
	name    string
	run     func(ctx context.Context, o *operate.Operator) error
	applied func(d *config.Document) bool // applied reports whether the document has the command's change.
}

// applyShare returns the command that applies a document with the given share.
func applyShare(share int) command {
	return command{
		fmt.Sprintf("apply of share %d", share),
		func(ctx context.Context, o *operate.Operator) error {
			return o.Apply(ctx, operate.ApplyRequest{Document: document(production, share)})
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
	dataCentreOut = command{
		"data-centre out",
		func(ctx context.Context, o *operate.Operator) error {
			return o.SetDataCentreOut(ctx, "khomas-b", "out", true)
		},
		func(d *config.Document) bool { return d.DataCentres[1].Out },
	}
	endpointLeave = command{
		"endpoint leave",
		func(ctx context.Context, o *operate.Operator) error {
			return o.SetEndpointLeaving(ctx, "engine-1", "leave", true)
		},
		func(d *config.Document) bool { return d.Endpoints[0].Leaving },
	}
)

// Of two commands at the same time, one may be refused with result.Conflict and must then change
// nothing; an accepted change must stay. The offsets let their calls interleave in many ways.
func TestRacingCommands(t *testing.T) {
	for _, race := range []struct{ slow, fast command }{
		{applyShare(9), dataCentreOut},
		{applyShare(9), applyShare(8)},
		{endpointLeave, dataCentreOut},
		{dataCentreOut, endpointLeave},
		{promotion, endpointLeave},
	} {
		t.Run(race.slow.name+" against "+race.fast.name, func(t *testing.T) {
			conflicts := 0
			for offset := time.Duration(0); offset < maxOffset; offset += offsetStep {
				withFixture(t, func(s *fixture) {
					if s.race(race.slow, race.fast, offset) {
						conflicts++
					}
				})
			}
			is.New(t).True(conflicts > 0) // The changes must conflict at some offsets.
		})
	}
}

// race starts one command from the far host and after the offset another from the near host,
// checks the outcome, and reports whether exactly one of them was accepted.
func (s *fixture) race(slow, fast command, offset time.Duration) bool {
	s.is.NoErr(applyShare(5).run(s.Context(), s.operator(nearHost, production))) // The commands now have something to change.
	before := s.readInForce(production).Root.Generation
	ended := make(chan error, 1)
	go func() { ended <- slow.run(s.Context(), s.operator(farHost, production)) }()
	time.Sleep(max(offset, time.Nanosecond))
	errs := map[*command]error{&fast: fast.run(s.Context(), s.operator(nearHost, production))}
	errs[&slow] = <-ended
	now := s.readInForce(production)
	accepted := uint64(0)
	for one, err := range errs {
		if err == nil {
			accepted++
			continue
		}
		s.is.Equal(result.Of(err), result.Conflict)
		s.is.True(!one.applied(now.Document)) // Nothing of a refused change may be in force.
	}
	s.is.Equal(now.Root.Generation, before+accepted)
	s.expectKept(errs, now.Document)
	return accepted == 1
}

// expectKept checks that accepted changes of a data centre or of an endpoint are still in the document.
func (s *fixture) expectKept(errs map[*command]error, d *config.Document) {
	s.Helper()
	for one, err := range errs {
		if err == nil && (one.name == dataCentreOut.name || one.name == endpointLeave.name) {
			s.is.True(one.applied(d))
		}
	}
}

// A command must succeed, and make its change once, if all answers of the platform to its writes are lost.
func TestLostAnswers(t *testing.T) {
	for _, one := range []command{promotion, dataCentreOut, endpointLeave} {
		t.Run(one.name, func(t *testing.T) {
			withFixture(t, func(s *fixture) {
				s.is.NoErr(applyShare(5).run(s.Context(), s.operator(nearHost, production)))
				before := s.readInForce(production).Root.Generation
				s.server.SetFaults(standin.Faults{LoseAnswers: -1})
				s.is.NoErr(one.run(s.Context(), s.operator(nearHost, production)))
				s.server.SetFaults(standin.Faults{})
				now := s.readInForce(production)
				s.is.Equal(now.Root.Generation, before+1)
				s.is.True(one.applied(now.Document))
			})
		})
	}
}

// While the platform is down, commands must fail with result.PlatformDown and change nothing.
func TestPlatformDown(t *testing.T) {
	for _, one := range []command{applyShare(9), promotion, dataCentreOut, endpointLeave} {
		t.Run(one.name, func(t *testing.T) {
			withFixture(t, func(s *fixture) {
				s.is.NoErr(applyShare(5).run(s.Context(), s.operator(nearHost, production)))
				before := s.readInForce(production).Root
				s.server.SetFaults(standin.Faults{Down: true})
				s.is.Equal(result.Of(one.run(s.Context(), s.operator(nearHost, production))), result.PlatformDown)
				s.server.SetFaults(standin.Faults{})
				s.is.Equal(s.readInForce(production).Root.ChangeID, before.ChangeID)
			})
		})
	}
}

// If the root can't be parsed, only "apply" may replace it; other commands must fail with result.BadDocument.
func TestBrokenRoot(t *testing.T) {
	withFixture(t, func(s *fixture) {
		client := s.client(production)
		root, err := client.Get(s.Context(), platform.Roots, platform.CurrentRoot)
		s.is.NoErr(err)
		root.Data = []byte(`{"generation": "none"}`)
		_, err = client.Update(s.Context(), platform.Roots, root)
		s.is.NoErr(err)
		for _, one := range []command{promotion, dataCentreOut, endpointLeave} {
			s.is.Equal(result.Of(one.run(s.Context(), s.operator(nearHost, production))), result.BadDocument)
		}
		var out bytes.Buffer
		s.is.NoErr(applyShare(9).run(s.Context(), s.printingOperator(nearHost, production, &out)))
		s.is.True(strings.Contains(out.String(), "replaces a document that can't be read"))
		now := s.readInForce(production)
		s.is.True(applyShare(9).applied(now.Document))
		s.is.True(now.Root.Generation > 1) // Generations must not go back.
	})
}

// Commands that would change nothing must not write to the platform.
func TestNothingToDo(t *testing.T) {
	for _, one := range []command{applyShare(1), promotion} {
		t.Run(one.name, func(t *testing.T) {
			withFixture(t, func(s *fixture) {
				writes := s.server.Calls().Writes
				s.is.NoErr(one.run(s.Context(), s.operator(nearHost, production)))
				s.is.Equal(s.server.Calls().Writes, writes)
			})
		})
	}
}

// ApplyRequest.Above must raise the next generation above the given one, and never lower it.
func TestAbove(t *testing.T) {
	withFixture(t, func(s *fixture) {
		above := operate.ApplyRequest{Document: document(production, 1), Above: 40}
		s.is.NoErr(s.operator(nearHost, production).Apply(s.Context(), above)) // An unchanged document is written too if Above is set.
		s.is.Equal(s.readInForce(production).Root.Generation, uint64(41))
		above.Above = 3
		s.is.NoErr(s.operator(nearHost, production).Apply(s.Context(), above))
		s.is.Equal(s.readInForce(production).Root.Generation, uint64(42)) // A lower number must not set the generation back.
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
