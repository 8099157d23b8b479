package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
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
