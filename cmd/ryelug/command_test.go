package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// assertRun runs a command line and checks its exit status and that its output holds a text.
func assertRun(t *testing.T, status int, want string, args ...string) {
	t.Helper()
	var out bytes.Buffer
	got := execute(context.Background(), args, &out, &out)
	if int(got) != status || !strings.Contains(out.String(), want) {
		t.Errorf("%v: exit status %d, output %s", args, got, out.String())
	}
}

func TestExitStatus(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close()
	address := taken.Addr().String()
	wrong := filepath.Join(t.TempDir(), "router.toml")
	is.NoErr(os.WriteFile(wrong, []byte("host = 5\n"), 0o600))
	runs := []struct {
		name   string
		status int
		want   string
		args   []string
	}{
		{"version", 0, "ryelug", []string{"version"}},
		{"help", 0, "Example:", []string{"help", "dev"}},
		{"no command", 2, "result 3006 bad_arguments", nil},
		{"unknown command", 2, `"no-such" is not a command`, []string{"no-such"}},
		{"unknown flag", 2, "", []string{"dev", "-no-such"}},
		{"extra argument", 2, `unexpected argument "x"`, []string{"version", "x"}},
		{"bad address", 2, "ryelug dev -callers 127.0.0.1", []string{"dev", "-callers", "localhost"}},
		{"callers' port in use", 1, "result 3005 address_in_use", []string{"dev", "-callers", address, "-operator", "127.0.0.1:0"}},
		{"operator's port in use", 1, "another process listens on " + address, []string{"dev", "-operator", address, "-callers", "127.0.0.1:0"}},
		{"no settings", 2, "-settings is missing", []string{"router"}},
		{"wrong settings", 3, "router.toml:1: host = 5 is wrong; allowed: text", []string{"router", "-settings", wrong}},
		{"missing settings", 3, "result 3001 bad_settings", []string{"router", "-settings", wrong + "-none"}},
		{"no stand-in", 2, "name a stand-in", []string{"standin"}},
		{"stand-in's port in use", 1, "address_in_use", []string{"standin", "engine", "-listen", address}},
	}
	for _, run := range runs {
		t.Run(run.name, func(t *testing.T) { assertRun(t, run.status, run.want, run.args...) })
	}
}
