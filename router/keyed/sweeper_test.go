package keyed_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/io/platform"
	"ryelug/router/keyed"
	"ryelug/standin/bubble"
	"ryelug/standin/network"
	standin "ryelug/standin/platform"
)

// TestSweep checks that a sweep deletes expired records only, and spares a record that changed after
// it was listed.
func TestSweep(t *testing.T) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := startPlatform(t)
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
	})
}

// startPlatform starts a stand-in for the platform in a synctest bubble and returns a client.
func startPlatform(t *testing.T) *platform.Client {
	t.Helper()
	n := network.New(network.Config{})
	address := netip.MustParseAddrPort("192.0.2.1:80")
	ln, err := n.Listen(address)
	is.New(t).NoErr(err)
	server := standin.New(standin.Config{Environment: "trial"})
	go func() { _ = server.Serve(ln) }()
	dial := n.Dialer(netip.MustParseAddr("192.0.2.2"))
	client := platform.New(platform.Config{Address: address, Environment: "trial", Dial: dial})
	t.Cleanup(func() {
		client.Close()
		server.Close()
		time.Sleep(time.Minute) // Lets the cleanup goroutines of the connection pools end.
	})
	return client
}

// racingRecords simulates another router that replaces each record between the list and the delete.
type racingRecords struct{ *platform.Client }

func (r *racingRecords) ListNames(ctx context.Context, kind platform.Kind) (platform.List, error) {
	list, err := r.Client.ListNames(ctx, kind)
	for _, object := range list.Items {
		_ = r.Delete(ctx, kind, object.Name, object.Version)
		_, _ = r.Create(ctx, kind, platform.Object{Name: object.Name, Annotations: object.Annotations, Data: []byte("{}")})
	}
	return list, err
}
