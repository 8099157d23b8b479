package service_test

import (
	"bufio"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"ryelug/standin/bubble"
	"ryelug/standin/endpoint"
	"ryelug/standin/service"
)

func TestCalls(t *testing.T) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tickets := service.New(service.Config{Name: "s", WarmLimit: 2, ColdLimit: 1, Duration: time.Second})
		lis := fasthttputil.NewInmemoryListener()
		go func() { _ = tickets.Serve(lis) }()
		call := func(id string) (string, error) {
			conn, err := lis.Dial()
			is.NoErr(err)
			defer conn.Close()
			out := bufio.NewWriter(conn)
			var req fasthttp.Request
			req.Header.SetMethod("POST")
			req.SetRequestURI("http://s/tickets")
			req.Header.Set("X-Request-Id", id)
			is.NoErr(req.Write(out))
			is.NoErr(out.Flush())
			var resp fasthttp.Response
			err = resp.Read(bufio.NewReader(conn))
			return string(resp.Body()), err
		}
		body, err := call("c1")
		is.NoErr(err)
		is.True(strings.Contains(body, `"number":1`))
		tickets.Inject(&endpoint.Drop{})
		_, err = call("c2")
		is.True(err != nil)
		_, err = call("c2")
		is.NoErr(err)
		is.Equal(tickets.History().Repeated(), []string{"c2"})
		tickets.Close()
	})
}
