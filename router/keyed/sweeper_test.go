package keyed_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/io/platform"
	"ryelug/router/keyed"
	standin "ryelug/standin/platform"
)

// TestSweep deletes a record after its time and no other, and spares one that changed after the list.
func TestSweep(t *testing.T) {
	is := is.New(t)
	server := standin.New(standin.Config{Environment: "trial"})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	client := platform.New(platform.Config{Address: netip.MustParseAddrPort(ln.Addr().String()), Environment: "trial"})
	ctx, now := t.Context(), time.Now()
	for name, expires := range map[string]string{"old": "1000", "new": "99999999999", "unmarked": ""} {
		_, err := client.Create(ctx, platform.Calls, platform.Object{Name: name, Annotations: map[string]string{"expires": expires}, Data: []byte("{}")})
		is.NoErr(err)
	}
	racing := &racingRecords{Client: client}
	is.Equal(keyed.NewSweeper(keyed.SweeperConfig{Records: racing}).Sweep(ctx, now), 0)
	is.Equal(keyed.NewSweeper(keyed.SweeperConfig{Records: client}).Sweep(ctx, now), 1)
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
