package platform_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/io/platform"
)

// A platform that answers a long write at once, without a length, and resets the connection while the write is on its way, has
// acknowledged nothing.
func TestResetDuringALongWrite(t *testing.T) {
	for _, wait := range []time.Duration{0, 5 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = io.ReadFull(conn, make([]byte, 64))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{}")
				time.Sleep(wait)
				_ = conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}()
			client := platform.New(platform.Config{Address: ln.Addr().(*net.TCPAddr).AddrPort(), Environment: "trial", Timeout: time.Second})
			long := platform.Object{Name: "a", Version: "1", Data: append(append([]byte(`"`), bytes.Repeat([]byte("x"), 16<<20)...), '"')}
			_, err = client.Update(t.Context(), platform.Calls, long)
			var unavailable *platform.ErrUnavailable
			is.True(errors.As(err, &unavailable))
			is.True(unavailable.Unknown)
		})
	}
}
