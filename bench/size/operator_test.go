package size_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/config"
	"ryelug/standin/platform"
)

const operatorTeams = 12000

// commandSlope is what one command of an operator spends.
type commandSlope struct {
	Command   string         `json:"command"`
	Calls     platform.Calls `json:"calls"`
	Bytes     int64          `json:"bytes"` // Bytes are those sent and received.
	Seconds   float64        `json:"seconds"`
	Processor float64        `json:"processor_ms"`
	Resident  float64        `json:"resident_mb_most"`
}

// TestOperator measures the operators' commands as processes; it runs when it is asked for.
func TestOperator(t *testing.T) {
	if *slopes != "operator" {
		t.Skip("measures only with -slopes operator")
	}
	is := is.New(t)
	o := &operators{binary: buildProgram(t), platform: platform.New(platform.Config{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	o.listener = &countingListener{Listener: listener}
	served := make(chan error, 1)
	go func() { served <- o.platform.Serve(o.listener) }()
	defer func() { o.platform.Close(); is.NoErr(<-served) }()

	doc := sizeDocument([]netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:8000")}, operatorTeams)
	first := o.write(is, doc)
	doc.Teams[0].Share++
	second := o.write(is, doc)
	for _, args := range [][]string{
		{"apply", first}, {"apply", second}, {"apply", second},
		{"data-centre", "out", "dc-a"}, {"data-centre", "in", "dc-a"}, {"endpoint", "leave", "engine-1"},
		{"status"}, {"history"}, {"history", "-generation", "1"},
	} {
		line, err := json.Marshal(o.run(is, args))
		is.NoErr(err)
		t.Log(string(line))
	}
}

// operators runs commands against a platform that counts.
type operators struct {
	binary   string
	platform *platform.Server
	listener *countingListener
	files    int
}

// write writes a document to a new file.
func (o *operators) write(is *is.I, doc *config.Document) string {
	o.files++
	name := filepath.Join(filepath.Dir(o.binary), fmt.Sprintf("%d.toml", o.files))
	is.NoErr(os.WriteFile(name, config.Encode(doc), 0o600))
	return name
}

func (o *operators) run(is *is.I, args []string) commandSlope {
	flags := []string{args[0], "-platform", o.listener.Addr().String(), "-environment", "size"}
	command := exec.Command(o.binary, append(flags, args[1:]...)...)
	calls, bytes, began := o.platform.Calls(), o.listener.bytes.Load(), time.Now()
	is.NoErr(command.Run())
	took := time.Since(began)
	after := o.platform.Calls()
	used := command.ProcessState
	return commandSlope{
		Command: fmt.Sprint(args),
		Calls: platform.Calls{
			Reads: after.Reads - calls.Reads, Lists: after.Lists - calls.Lists,
			Writes: after.Writes - calls.Writes, Watches: after.Watches - calls.Watches,
		},
		Bytes:     o.listener.bytes.Load() - bytes,
		Seconds:   took.Seconds(),
		Processor: float64((used.UserTime() + used.SystemTime()).Milliseconds()),
		Resident:  float64(used.SysUsage().(*syscall.Rusage).Maxrss) / 1024,
	}
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
