package main

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	standin "ryelug/standin/platform"
)

const documentText = `environment = "trial"

[[data_centres]]
name = "khomas-1"
region = "khomas"

[[pools]]
name = "chat"
kind = "engine"
model = "small"

[[endpoints]]
name = "engine-1"
pool = "chat"
data_centre = "khomas-1"
address = "192.0.2.1:8000"
warm_limit = 8
cold_limit = 2

[[routes]]
path = "/v1/chat/completions"
idempotent = true

[[teams]]
name = "kiosks"
share = 3
key_hashes = ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
`

// operators runs commands against a stand-in platform.
type operators struct {
	*testing.T
	server  *standin.Server
	address string
	dir     string
}

func newOperators(t *testing.T) *operators {
	t.Helper()
	is := is.New(t)
	o := &operators{T: t, server: standin.New(standin.Config{}), dir: t.TempDir()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	o.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- o.server.Serve(listener) }()
	t.Cleanup(func() {
		o.server.Close()
		<-served
	})
	return o
}

// file writes a document with some texts replaced, and returns its name.
func (o *operators) file(name string, replace ...string) string {
	o.Helper()
	path := filepath.Join(o.dir, name)
	text := strings.NewReplacer(replace...).Replace(documentText)
	is.New(o.T).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// expect runs a command and checks its exit status and a text of its output.
func (o *operators) expect(exit int, text string, args ...string) string {
	o.Helper()
	var out bytes.Buffer
	status := execute(o.Context(), args, &out, &out)
	if int(status) != exit || !strings.Contains(out.String(), text) {
		o.Errorf("ryelug %s: exit status %d, want %d with %q, printed:\n%s", strings.Join(args, " "), status, exit, text, out.String())
	}
	return out.String()
}

// on adds the flags of an environment.
func (o *operators) on(environment string, args ...string) []string {
	flags := []string{args[0], "-platform", o.address, "-environment", environment}
	return append(flags, args[1:]...)
}

func TestCheck(t *testing.T) {
	o := newOperators(t)
	o.expect(0, "1 teams, 1 data centres, 1 pools, 1 endpoints, 1 routes", "check", o.file("good.toml"))
	bad := o.file("bad.toml", "share = 3", "share = -3")
	o.expect(3, bad+`: line 26: teams.share: found -3; allowed: a whole number from 1 to 1000000`, "check", bad)
	o.expect(3, "found -3", o.on("trial", "apply", bad)...)
	o.expect(2, "no such file", "check", filepath.Join(o.dir, "none.toml"))
	o.expect(2, "give one document file", "check")
	if o.server.Calls().Total() != 0 {
		t.Error("a document that can't be read led to calls")
	}
}

func TestOperate(t *testing.T) {
	o := newOperators(t)
	o.expect(3, "has no document yet", o.on("trial", "status")...)
	o.expect(0, "generation 1 accepted", o.on("trial", "apply", o.file("1.toml"))...)
	o.expect(0, "nothing to do", o.on("trial", "apply", o.file("1.toml"))...)
	o.expect(0, "generation 2 accepted", o.on("trial", "apply", o.file("2.toml", "share = 3", "share = 4"))...)

	o.expect(0, "generation 3 accepted", o.on("trial", "data-centre", "out", "khomas-1")...)
	o.expect(0, "data centre khomas-1 is out", o.on("trial", "status")...)
	o.expect(4, "would return data centre khomas-1", o.on("trial", "apply", o.file("1.toml"))...)
	o.expect(0, "generation 4 accepted", "data-centre", "in", "khomas-1", "-platform", o.address, "-environment", "trial")
	o.expect(0, "generation 5 accepted", o.on("trial", "endpoint", "leave", "engine-1")...)
	o.expect(0, "endpoint engine-1 is leaving", o.on("trial", "status")...)
	o.expect(0, "generation 6 accepted", o.on("trial", "endpoint", "return", "engine-1")...)

	list := o.expect(0, "data-centre out khomas-1", o.on("trial", "history")...)
	if strings.Count(list, "\n") != 6 {
		t.Errorf("the history is:\n%s", list)
	}
	former := o.expect(0, "share = 3", o.on("trial", "history", "-generation", "1")...)
	o.expect(0, "generation 7 accepted", o.on("trial", "apply", o.file("old.toml", documentText, former))...)

	for _, c := range []struct {
		exit int
		text string
		args []string
	}{
		{3, `data_centres has no "khomas-9"; it has ["khomas-1"]`, o.on("trial", "data-centre", "out", "khomas-9")},
		{3, `endpoints has no "x"`, o.on("trial", "endpoint", "leave", "x")},
		{3, "generation 99", o.on("trial", "history", "-generation", "99")},
		{2, "give out or in and a name", o.on("trial", "data-centre", "away", "khomas-1")},
		{2, "-platform is missing", []string{"status", "-environment", "trial"}},
		{2, "-environment is missing", []string{"status", "-platform", o.address}},
		{3, `found trial; allowed: production, as -environment says`, o.on("production", "apply", o.file("1.toml"))},
		{2, "-from is missing", o.on("trial", "promote")},
	} {
		o.expect(c.exit, c.text, c.args...)
	}
}

func TestPromote(t *testing.T) {
	o := newOperators(t)
	hash := strings.Repeat("ab", 32)
	own := []string{`"trial"`, `"production"`, "192.0.2.1:8000", "198.51.100.7:8000", "khomas-1", "erongo-1", "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08", hash}
	o.expect(0, "accepted", o.on("production", "apply", o.file("production.toml", own...))...)
	trial := o.file("trial.toml", "share = 3", "share = 9", "warm_limit = 8", "warm_limit = 16", `"small"`, `"large"`, "[[teams]]", "[[teams]]\nname = \"new\"\nshare = 1\n\n[[teams]]")
	o.expect(0, "accepted", o.on("trial", "apply", trial)...)
	o.expect(0, "team new is new and has no key_hashes yet", o.on("production", "promote", "-from", "trial", "-show")...)
	o.expect(0, "generation 2 accepted", o.on("production", "promote", "-from", "trial")...)
	o.expect(3, "no document yet", o.on("production", "promote", "-from", "none")...)
	shown := o.expect(0, "", o.on("production", "status", "-show")...)
	renamed := o.file("renamed.toml", `"chat"`, `"talk"`)
	o.expect(0, "accepted", o.on("trial", "apply", renamed)...)
	o.expect(3, `endpoints.pool: found "chat"; allowed: the name of one of the pools`, o.on("production", "promote", "-from", "trial")...)
	for _, text := range []string{"198.51.100.7:8000", `"erongo-1"`, hash, "share = 9", "warm_limit = 16", `model = "large"`, `name = "new"`, `environment = "production"`} {
		if !strings.Contains(shown, text) {
			t.Errorf("%s is missing from:\n%s", text, shown)
		}
	}
}

func TestPlatformFaults(t *testing.T) {
	o := newOperators(t)
	o.server.SetFaults(standin.Faults{LoseAnswers: -1})
	o.expect(0, "generation 1 accepted", o.on("trial", "apply", o.file("1.toml"))...)
	o.server.SetFaults(standin.Faults{LoseAnswers: 2})
	o.expect(0, "generation 2 accepted", o.on("trial", "data-centre", "out", "khomas-1")...)
	o.server.SetFaults(standin.Faults{})
	o.server.SetFaults(standin.Faults{Down: true})
	o.expect(5, "the platform does not answer; tries again for 200ms", o.on("trial", "apply", "-wait", "200ms", o.file("3.toml", "share = 3", "share = 5"))...)
	o.server.SetFaults(standin.Faults{})
	if list := o.expect(0, "", o.on("trial", "history")...); strings.Count(list, "\n") != 2 {
		t.Errorf("a lost answer led to more generations:\n%s", list)
	}
}
