package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/io/caller"
)

// Guards against relayed requests that get no answer, or run twice, because the other router stops.
func TestRelayedRequestsAreAnsweredWhileTheOtherRouterStops(t *testing.T) {
	const callers, each = 40, 10 // callers is the number of concurrent callers, each the number of requests of one.
	is := is.New(t)
	var mu sync.Mutex
	runs := make(map[string]int) // runs counts the runs of each request by its path.
	count := func(_ context.Context, req *caller.Request, w caller.Writer) {
		mu.Lock()
		runs[req.Path]++
		mu.Unlock()
		time.Sleep(time.Millisecond)
		_ = w.Whole(caller.Answer{Status: http.StatusOK, ContentType: "text/plain", Body: req.Body})
	}
	far := caller.New(caller.Config{Handler: &handlerFunc{serve: count}})
	near := handsOver(t, takesOver(t, far), &handlerFunc{serve: count}, func(bool) {})
	ln := listen(t)
	go func() { _ = near.Serve(ln) }()
	var answered, unknown atomic.Int64
	ask := func(path string) {
		conn := dial(t, ln.Addr().String())
		defer conn.Close()
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", path)
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		switch resp.StatusCode {
		case http.StatusOK:
			answered.Add(1)
		case http.StatusBadGateway:
			unknown.Add(1)
		}
	}
	var all sync.WaitGroup
	for from := range callers {
		all.Go(func() {
			for n := range each {
				ask(fmt.Sprintf("/%d/%d", from, n))
			}
		})
	}
	time.Sleep(5 * time.Millisecond)
	is.NoErr(far.Shutdown(t.Context()))
	all.Wait()
	is.Equal(answered.Load()+unknown.Load(), int64(callers*each))
	t.Logf("%d answered, %d of unknown outcome", answered.Load(), unknown.Load())
	for _, times := range runs {
		is.Equal(times, 1)
	}
}

// Guards against streams of another router's callers that break off at the grace of this router, while the other router and
// the endpoint go on.
func TestHandedOverStreamsOutlastTheGraceOfTheirRouter(t *testing.T) {
	const longer = 3 * time.Second // longer is above the time that the stream takes after the end of the grace.
	begun, finish := make(chan struct{}, 2), make(chan struct{})
	stream := func(_ context.Context, _ *caller.Request, w caller.Writer) {
		_ = w.Event(caller.Event{ID: "1", Data: []byte("first")})
		begun <- struct{}{}
		<-finish
		_ = w.Event(caller.Event{ID: "2", Data: []byte("last")})
		_ = w.Close()
	}
	is := is.New(t)
	far := caller.New(caller.Config{Handler: &handlerFunc{serve: stream}, HandedOverGrace: longer})
	near := handsOver(t, takesOver(t, far), &handlerFunc{serve: stream}, func(bool) {})
	handedOver, own := listen(t), listen(t)
	go func() { _ = near.Serve(handedOver) }()
	go func() { _ = far.Serve(own) }()
	body := func(address string) func() (string, error) {
		conn := dial(t, address)
		_, err := fmt.Fprint(conn, "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		<-begun
		return func() (string, error) {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			data, err := io.ReadAll(resp.Body)
			return string(data), err
		}
	}
	readHandedOver, readOwn := body(handedOver.Addr().String()), body(own.Addr().String())
	ended, end := context.WithCancel(t.Context())
	end()
	stopped := make(chan struct{})
	go func() {
		_ = far.Shutdown(ended) // An ended context is its error.
		close(stopped)
	}()
	data, err := readOwn()
	is.NoErr(err)
	is.True(!strings.Contains(data, "last")) // A request of this router's own caller ends with the grace.
	close(finish)
	data, err = readHandedOver()
	is.NoErr(err)
	is.True(strings.Contains(data, "last"))
	<-stopped
}
