package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/holding"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/io/handover"
)

const (
	heldBody   = 128 << 10
	connMemory = 1 << 10
	endLimit   = 20 * time.Second // endLimit is longer than bytes for an event are awaited.
)

// budgeted returns a configuration with a budget for one body of heldBody bytes and a little more.
func budgeted() (caller.Config, *holding.Budget) {
	budget := holding.New(holding.Config{Size: 4 * heldBody, StallAfter: 50 * time.Millisecond})
	return caller.Config{MaxBody: heldBody, Budget: budget, ConnMemory: connMemory}, budget
}

// awaitReleased waits until no bytes are held any more.
func awaitReleased(t *testing.T, budget *holding.Budget) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		held := budget.Figures().Held
		sum := int64(0)
		for _, bytes := range held {
			sum += bytes
		}
		if sum == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("bytes are still held: %v", held)
		}
	}
}

// awaitHeld waits until bodies hold this many bytes of the budget.
func awaitHeld(t *testing.T, budget *holding.Budget, bytes int64) {
	t.Helper()
	for end := time.Now().Add(answerLimit); budget.Figures().Held[holding.Bodies.String()] < bytes; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%v bytes are held, not %d of bodies", budget.Figures().Held, bytes)
		}
	}
}

func announce(length int) string { return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", length) }

// Guards against bodies that stop short of their end and use up the memory for those that do not.
func TestStalledBodyIsRefusedWhileMemoryIsShort(t *testing.T) {
	is := is.New(t)
	config, budget := budgeted()
	config, r := record(config, echo)
	address := serveOn(listen(t), config)
	short := announce(heldBody) + strings.Repeat("x", heldBody-1)
	first, second := send(t, address, short), send(t, address, short)
	awaitHeld(t, budget, 2*(heldBody-1))
	time.Sleep(100 * time.Millisecond) // Longer than StallAfter.
	third := send(t, address, short+"x")
	reader := bufio.NewReader(third)
	assertAnswered(is, reader)
	third.Close()
	is.Equal(<-r.refused, result.RequestTimeout)
	is.Equal(r.handler.calls.Load(), int64(1))
	first.Close()
	second.Close()
	awaitReleased(t, budget)
}

// Guards against a refusal that waits for the body of a request which is announced over the limit.
func TestAnnouncedBodyOverTheLimitIsRefusedAtItsHead(t *testing.T) {
	is := is.New(t)
	config, _ := budgeted()
	config, r := record(config, echo)
	conn := send(t, serveOn(listen(t), config), announce(heldBody+1))
	assertEnd(is, conn, http.StatusRequestEntityTooLarge)
	is.Equal(<-r.refused, result.TooLarge)
}

// Guards against a body that the budget can never cover, which evicts all others, waits and is told to come back.
func TestBodyBeyondTheBudgetIsTooLarge(t *testing.T) {
	is := is.New(t)
	config, _ := budgeted()
	config.ReadTimeout, config.Budget = 2*time.Second, holding.New(holding.Config{Size: heldBody, StallAfter: time.Second})
	config, r := record(config, echo)
	address := serveOn(listen(t), config)
	assertEnd(is, send(t, address, announce(heldBody)), http.StatusRequestEntityTooLarge)
	is.Equal(<-r.refused, result.TooLarge)
	conn := send(t, address, announce(heldBody/8)+strings.Repeat("x", heldBody/8))
	assertAnswered(is, bufio.NewReader(conn))
	conn.Close()
	awaitReleased(t, config.Budget)
}

// Guards against chunks, trailers and extensions that make a request of legal size cost without a limit.
func TestChunkedBodyOverALimitIsRefused(t *testing.T) {
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	for name, one := range map[string]struct {
		text string
		want int
	}{
		"the body":        {chunked + strings.Repeat("1000\r\n"+strings.Repeat("x", 4096)+"\r\n", heldBody/4096) + "1\r\nx\r\n", http.StatusRequestEntityTooLarge},
		"a trailer":       {chunked + "1\r\nx\r\n0\r\nX: " + strings.Repeat("x", 64<<10), http.StatusRequestEntityTooLarge},
		"chunk extension": {chunked + "1;" + strings.Repeat("x", 10*heldBody), http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			config, budget := budgeted()
			config, r := record(config, echo)
			conn := dial(t, serveOn(listen(t), config))
			go func() { _, _ = io.WriteString(conn, one.text) }() // The server may close the connection before it has all.
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is := is.New(t)
			is.NoErr(err)
			is.Equal(resp.StatusCode, one.want)
			is.Equal(r.handler.calls.Load(), int64(0))
			conn.Close()
			awaitReleased(t, budget)
		})
	}
}

// Guards against a body that arrives so slowly that it holds its connection for the whole of the read timeout, and against
// the refusal of one that is slow but within the minimum rate.
func TestBodyBelowTheMinimumRateIsRefused(t *testing.T) {
	for name, one := range map[string]struct {
		rate  int
		piece int // piece is the size of each of the 40 last pieces; in the case "below" they end short of the body.
		want  int
	}{
		"below":  {1 << 20, 4 << 10 / 40, http.StatusRequestTimeout},
		"within": {1000, 4<<10/40 + 1, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config, budget := budgeted()
			config.BodyRate, config.BodyGrace = one.rate, 200*time.Millisecond
			config, _ = record(config, echo)
			conn := send(t, serveOn(listen(t), config), announce(16<<10)+strings.Repeat("x", 12<<10))
			go func() {
				for range 40 {
					time.Sleep(10 * time.Millisecond)
					if _, err := io.WriteString(conn, strings.Repeat("x", one.piece)); err != nil {
						return
					}
				}
			}()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, one.want)
			conn.Close()
			awaitReleased(t, budget)
		})
	}
}

// Guards against the refusal of a body above the minimum rate by the deadline that was set for its first part.
func TestBodyAboveTheMinimumRateHasTheWholeReadTimeout(t *testing.T) {
	is := is.New(t)
	config, budget := budgeted()
	config.ReadTimeout, config.BodyRate, config.BodyGrace = 5500*time.Millisecond, 10<<10, 300*time.Millisecond
	config, _ = record(config, echo)
	conn := send(t, serveOn(listen(t), config), announce(60<<10)+strings.Repeat("x", 56<<10))
	time.Sleep(2500 * time.Millisecond) // Longer than the time for the 16 KiB that are read first, and shorter than the one for 56 KiB and than ReadTimeout.
	_, err := io.WriteString(conn, strings.Repeat("x", 4<<10))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	conn.Close()
	awaitReleased(t, budget)
}

// Guards against bytes that neither or only one of the two routers counts while a handed-over request is held, and against
// bytes that stay counted afterwards.
func TestBothRoutersCountAHandedOverRequest(t *testing.T) {
	is := is.New(t)
	farConfig, farBudget := budgeted()
	farConfig.Handler = &handlerFunc{serve: echo}
	to := takesOver(t, caller.New(farConfig))
	nearConfig, nearBudget := budgeted()
	near := handsOver(t, to, &handlerFunc{serve: echo}, func(bool) {}, func(config *caller.Config) {
		config.Budget, config.ConnMemory, config.MaxBody = nearConfig.Budget, connMemory, heldBody
	})
	ln := listen(t)
	go func() { _ = near.Serve(ln) }()
	conn := send(t, ln.Addr().String(), announce(heldBody)+strings.Repeat("x", heldBody-1))
	for end := time.Now().Add(5 * time.Second); nearBudget.Figures().Held["handovers"] == 0 || farBudget.Figures().Held["bodies"] < heldBody; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("held at the near router: %v, at the far one: %v", nearBudget.Figures().Held, farBudget.Figures().Held)
		}
	}
	_, err := io.WriteString(conn, "x")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(body), heldBody)
	conn.Close()
	awaitReleased(t, nearBudget)
	awaitReleased(t, farBudget)
}

// Guards against counting the lack of memory here as a failure of the router that a connection would have been handed over to.
func TestNothingIsHandedOverWithoutMemory(t *testing.T) {
	is := is.New(t)
	config, _ := budgeted()
	config, r := record(config, echo)
	config.MaxConns, config.Budget = 100, holding.New(holding.Config{Size: connMemory/2 - 1})
	var asked atomic.Int64
	config.Elsewhere = func(time.Duration) (caller.Relay, bool) {
		asked.Add(1)
		near, _ := net.Pipe()
		return caller.Relay{Conn: near, Ended: func(bool) {}}, true
	}
	conn := send(t, serveOn(listen(t), config), request)
	assertEnd(is, conn, statusOf(result.Overloaded))
	is.Equal(<-r.refused, result.Overloaded)
	is.Equal(asked.Load(), int64(0))
}

// Guards against counting the kept part of a handed-over request for as long as its stream lasts, although it is dropped when the
// answer begins.
func TestKeptRequestIsReleasedWhenItsAnswerBegins(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	farConfig, _ := budgeted()
	farConfig.Handler = &handlerFunc{serve: func(_ context.Context, _ *caller.Request, w caller.Writer) {
		_ = w.Event(caller.Event{Data: []byte("one")})
		<-release
		_ = w.Close()
	}}
	to := takesOver(t, caller.New(farConfig))
	nearConfig, nearBudget := budgeted()
	near := handsOver(t, to, &handlerFunc{serve: echo}, func(bool) {}, func(config *caller.Config) {
		config.Budget, config.ConnMemory, config.MaxBody = nearConfig.Budget, connMemory, heldBody
	})
	ln := listen(t)
	go func() { _ = near.Serve(ln) }()
	conn := send(t, ln.Addr().String(), announce(heldBody)+strings.Repeat("x", heldBody))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(nearBudget.Figures().Held["handovers"], int64(handover.Window))
	close(release)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	conn.Close()
	awaitReleased(t, nearBudget)
}

// Guards against a caller that does not read its answer and is kept while the memory is short, and against bytes of
// a stream that stay counted.
func TestUnreadAnswerIsEndedWhileMemoryIsShort(t *testing.T) {
	config, budget := budgeted()
	large := bytes.Repeat([]byte("x"), 4*heldBody/2)
	config, r := record(config, func(_ context.Context, req *caller.Request, w caller.Writer) {
		for range 200 {
			if w.Event(caller.Event{Data: large[:heldBody/2]}) != nil {
				return
			}
		}
		_ = w.Close()
	})
	address := serveOn(listen(t), config)
	conns := make([]net.Conn, 4)
	for i := range conns {
		conns[i] = send(t, address, request)
	}
	for end := time.Now().Add(20 * time.Second); budget.Figures().Evicted["stalled"] == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("nothing is evicted; held: %v, requests: %d", budget.Figures().Held, r.handler.calls.Load())
		}
	}
	for _, one := range conns {
		one.Close()
	}
	awaitReleased(t, budget)
}

// Guards against a complete answer that waits for memory although it is held already.
func TestWholeAnswerIsNotDelayedWhileMemoryIsShort(t *testing.T) {
	is := is.New(t)
	config, budget := budgeted()
	whole := holding.Holder{Kind: holding.Bodies, Client: "a"}
	is.True(budget.Keep(&whole))
	budget.Force(time.Now(), &whole, budget.Figures().Size*7/8) // Also what is reserved for answers, but not for connections.
	took := make(chan time.Duration, 1)
	config, _ = record(config, func(_ context.Context, _ *caller.Request, w caller.Writer) {
		began := time.Now()
		_ = w.Whole(caller.Answer{Status: http.StatusOK, Body: make([]byte, heldBody)})
		took <- time.Since(began)
	})
	conn := send(t, serveOn(listen(t), config), request)
	assertAnswered(is, bufio.NewReader(conn))
	is.True(<-took < 2*time.Second) // Nothing releases the memory; with a wait it took 3 s.
	conn.Close()
	budget.End(&whole)
	awaitReleased(t, budget)
}

// Guards against an eviction that comes when the answer has just been written, and ends the next one on its connection.
func TestLateEvictionSparesTheNextAnswer(t *testing.T) {
	is := is.New(t)
	config, budget := budgeted()
	returned := make(chan struct{})
	config, _ = record(config, func(_ context.Context, _ *caller.Request, w caller.Writer) {
		_ = w.Whole(caller.Answer{Status: http.StatusOK, Body: make([]byte, 3*heldBody)})
		<-returned // Keeps the bytes counted until a victim was selected.
	})
	conn := send(t, serveOn(listen(t), config), request)
	reader := bufio.NewReader(conn)
	for end := time.Now().Add(5 * time.Second); budget.Figures().Held["responses"] == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	other := holding.Holder{Kind: holding.Bodies, Client: "a"}
	_, victim := budget.Take(time.Now().Add(time.Minute), &other, heldBody)
	is.True(victim != nil)
	assertAnswered(is, reader)
	close(returned)
	for end := time.Now().Add(5 * time.Second); budget.Figures().Held["responses"] > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	victim.Evict()
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	assertAnswered(is, reader)
	conn.Close()
	awaitReleased(t, budget)
}

// Guards against the report of a caller as stalled whose stream is ended because others use up the memory.
func TestStreamWithoutMemoryIsReportedAsSuch(t *testing.T) {
	is := is.New(t)
	config, budget := budgeted()
	whole := holding.Holder{Kind: holding.Bodies, Client: "a"}
	budget.Force(time.Now(), &whole, budget.Figures().Size*7/8) // Also what is reserved for answers, but not for connections.
	causes := make(chan holding.Cause, 1)
	config, _ = record(config, func(_ context.Context, _ *caller.Request, w caller.Writer) {
		_ = w.Event(caller.Event{Data: make([]byte, 8<<10)})
	})
	config.Evicted = func(eviction caller.Eviction) { causes <- eviction.Cause }
	conn := send(t, serveOn(listen(t), config), request)
	select {
	case cause := <-causes:
		is.Equal(cause, holding.Full)
	case <-time.After(endLimit):
		t.Fatalf("the stream was not ended within %v", endLimit)
	}
	conn.Close()
	budget.End(&whole)
	awaitReleased(t, budget)
}

// FuzzChunkedBody checks that a chunked request which the server serves is decoded as net/http decodes it, and that no
// request hangs the server or leaves bytes counted.
func FuzzChunkedBody(f *testing.F) {
	for _, seed := range []string{"0\r\n\r\n", "1\r\nx\r\n0\r\n\r\n", "5;a=b\r\nhello\r\n0\r\nT: v\r\n\r\n", "fffffffffffffff\r\nx", "2\r\nx\r\n0\r\n\r\n", "-1\r\n", "\r\n", "1\r\nx\r\n1\r\ny\r\n0\r\n", "0x1\r\nx\r\n0\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Add([]byte("2000\r\n" + strings.Repeat("x", 0x2000) + "\r\n" + strings.Repeat("1\r\ny\r\n", 9000) + "0\r\n\r\n"))
	config, budget := budgeted()
	config.ReadTimeout, config.Handler = time.Second, &handlerFunc{serve: echo}
	ln := listen(f)
	address := serveOn(ln, config)
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > heldBody {
			return
		}
		whole := head + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + string(data)
		conn := send(t, address, whole)
		_ = conn.(interface{ CloseWrite() error }).CloseWrite()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && resp.StatusCode == http.StatusOK {
			got, err := io.ReadAll(resp.Body)
			is := is.New(t)
			is.NoErr(err)
			req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(whole)))
			is.NoErr(err)
			want, err := io.ReadAll(req.Body)
			is.NoErr(err)
			is.True(bytes.Equal(got, want))
		}
		conn.Close()
		awaitReleased(t, budget)
	})
}
