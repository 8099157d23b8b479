package request_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/result"
	"ryelug/io/platform"
	"ryelug/router/request"
	standin "ryelug/standin/platform"
)

// TestKeyedCallsCost repeats one call and counts what each part costs the platform.
func TestKeyedCallsCost(t *testing.T) {
	server, clients := startPlatform(t, 1)
	answer := "answer"
	service := newFakeEndpoint(t, func(conn net.Conn, req *fasthttp.Request, _ int) bool {
		write(conn, "text/plain", requestID(req), answer)
		return true
	})
	grants := &fakeGrants{endpoints: []target{service}, valid: time.Second}
	config := request.Config{Records: clients[0], Grants: grants, MaxRecorded: 10, KeyTimeout: 100 * time.Millisecond}
	url := serveCallers(t, config, request.Route{Service: true})
	settled := func(calls int64) {
		for deadline := time.Now().Add(time.Second); server.Calls().Total() < calls && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
	}
	cases := []struct {
		name, key, body, answer string
		sends                   int
		reads, writes           int64
		status                  int
		code                    result.Code
		faults                  standin.Faults
	}{
		{name: "first", key: "a", body: "{}", answer: "first", status: 200, sends: 1, writes: 2},
		{name: "repeat", key: "a", body: "{}", answer: "other", status: 200, sends: 0, reads: 1, writes: 1},
		{name: "other body", key: "a", body: "[]", status: 422, code: result.KeyMismatch, reads: 1, writes: 1},
		{name: "large", key: "b", body: "{}", answer: "longer than ten", status: 200, sends: 1, writes: 2},
		{name: "large again", key: "b", body: "{}", status: 409, code: result.KeyOutcomeUnknown, reads: 1, writes: 1},
		{name: "lost answer", key: "c", body: "{}", status: 200, sends: 1, reads: 1, writes: 2, faults: standin.Faults{LoseAnswers: 1}},
		{name: "outage", key: "d", body: "{}", status: 503, code: result.PlatformUnavailable, faults: standin.Faults{Down: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			answer = c.answer
			server.SetFaults(c.faults)
			sends, before := service.sends(), server.Calls()
			status, body := post(t, url, c.body, "Idempotency-Key", c.key)
			settled(before.Total() + c.reads + c.writes)
			after := server.Calls()
			is.Equal(status, c.status)
			is.Equal(service.sends()-sends, c.sends)
			if c.code != 0 {
				is.Equal(parseRefusal(t, body).Error.Code, c.code)
			}
			if c.name == "repeat" {
				is.Equal(body, "first")
			}
			if !c.faults.Down {
				is.Equal([]int64{after.Reads - before.Reads, after.Writes - before.Writes}, []int64{c.reads, c.writes})
			}
		})
	}
}

// TestSweep deletes a record after its time and no other, and spares one that changed after the list.
func TestSweep(t *testing.T) {
	is := is.New(t)
	_, clients := startPlatform(t, 1)
	client, ctx, now := clients[0], t.Context(), time.Now()
	for name, expires := range map[string]string{"old": "1000", "new": "99999999999", "unmarked": ""} {
		_, err := client.Create(ctx, platform.Calls, platform.Object{Name: name, Annotations: map[string]string{"expires": expires}, Data: []byte("{}")})
		is.NoErr(err)
	}
	racing := &racingRecords{Client: client}
	is.Equal(request.NewSweeper(request.SweeperConfig{Records: racing}).Sweep(ctx, now), 0)
	is.Equal(request.NewSweeper(request.SweeperConfig{Records: client}).Sweep(ctx, now), 1)
	list, err := client.ListNames(ctx, platform.Calls)
	is.NoErr(err)
	var names []string
	for _, object := range list.Items {
		names = append(names, object.Name)
	}
	is.Equal(strings.Join(names, " "), "new unmarked")
}

// racingRecords has another router delete and write anew each record between the list and the delete.
type racingRecords struct{ *platform.Client }

func (r *racingRecords) ListNames(ctx context.Context, kind platform.Kind) (platform.List, error) {
	list, err := r.Client.ListNames(ctx, kind)
	for _, object := range list.Items {
		_ = r.Delete(ctx, kind, object.Name, object.Version)
		_, _ = r.Create(ctx, kind, platform.Object{Name: object.Name, Annotations: object.Annotations, Data: []byte("{}")})
	}
	return list, err
}
