package platform_test

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/io/platform"
)

// A call whose connection drops after the request was read is not sent again, on a new connection or a used one.
func TestSendsOnce(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	var read, answered atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for req := (&fasthttp.Request{}); req.Read(reader) == nil; {
					read.Add(1)
					if answered.Add(-1) < 0 {
						return
					}
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
				}
			}()
		}
	}()
	client := platform.New(platform.Config{Address: netip.MustParseAddrPort(ln.Addr().String()), Environment: "trial"})
	object := platform.Object{Name: "name", Version: "1", Data: []byte("{}")}
	calls := map[string]func() error{
		"get":    func() error { _, err := client.Get(t.Context(), platform.Calls, "name"); return err },
		"create": func() error { _, err := client.Create(t.Context(), platform.Calls, object); return err },
		"update": func() error { _, err := client.Update(t.Context(), platform.Calls, object); return err },
		"delete": func() error { return client.Delete(t.Context(), platform.Calls, "name", "1") },
	}
	for name, call := range calls {
		for _, used := range []int64{0, 1} {
			t.Run(fmt.Sprintf("%s after %d answers", name, used), func(t *testing.T) {
				is := is.New(t)
				read.Store(0)
				answered.Store(used)
				for range used {
					is.NoErr(call())
				}
				is.True(call() != nil)
				is.Equal(read.Load(), used+1)
			})
		}
	}
}
