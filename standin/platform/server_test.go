package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/io/platform"
	standin "ryelug/standin/platform"
)

// start serves a stand-in on loopback and returns a client of it.
func start(t *testing.T, silence time.Duration) (*standin.Server, *platform.Client) {
	t.Helper()
	is := is.New(t)
	server := standin.New(standin.Config{Environment: "trial", Hosts: []standin.Host{{Host: "h1", DataCentre: "a"}}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		<-served
	})
	address := netip.MustParseAddrPort(listener.Addr().String())
	client := platform.New(platform.Config{Address: address, Environment: "trial", Timeout: time.Second, Silence: silence})
	t.Cleanup(client.Close)
	return server, client
}

func object(name, version, text string) platform.Object {
	data, err := json.Marshal(map[string]string{"text": text})
	if err != nil {
		panic(err)
	}
	return platform.Object{Name: name, Version: version, Data: data}
}

func TestObjects(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	server, client := start(t, time.Second)

	created, err := client.Create(ctx, platform.Roots, object("r", "", "1"))
	is.NoErr(err)
	_, err = client.Create(ctx, platform.Roots, object("r", "", "2"))
	is.True(errors.Is(err, platform.ErrExists))
	updated, err := client.Update(ctx, platform.Roots, object("r", created.Version, "3"))
	is.NoErr(err)
	is.True(platform.Newer(updated.Version, created.Version))
	_, err = client.Update(ctx, platform.Roots, object("r", created.Version, "4"))
	is.True(errors.Is(err, platform.ErrConflict))
	_, err = client.Update(ctx, platform.Roots, object("x", created.Version, "4"))
	is.True(errors.Is(err, platform.ErrNotFound))
	got, err := client.Get(ctx, platform.Roots, "r")
	is.NoErr(err)
	is.Equal(string(got.Data), `{"text":"3"}`)
	head, err := client.Head(ctx, platform.Roots, "r")
	is.NoErr(err)
	is.Equal(head.Version, updated.Version)
	is.Equal(len(head.Data), 0)
	list, err := client.List(ctx, platform.Hosts)
	is.NoErr(err)
	is.Equal(len(list.Items), 1)
	is.True(errors.Is(client.Delete(ctx, platform.Roots, "r", created.Version), platform.ErrConflict))
	is.NoErr(client.Delete(ctx, platform.Roots, "r", updated.Version))
	_, err = client.Get(ctx, platform.Roots, "r")
	is.True(errors.Is(err, platform.ErrNotFound))
	_, err = client.Create(ctx, platform.Parts, object("big", "", strings.Repeat("x", 1<<20)))
	is.True(errors.Is(err, platform.ErrTooLarge))
	is.Equal(server.Calls().Total(), client.Calls())
}

func TestFaults(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	server, client := start(t, time.Second)
	var unavailable *platform.ErrUnavailable

	server.SetFaults(standin.Faults{LoseAnswers: 1})
	_, err := client.Create(ctx, platform.Roots, object("r", "", "1"))
	is.True(errors.As(err, &unavailable) && unavailable.Unknown)
	_, err = client.Get(ctx, platform.Roots, "r")
	is.NoErr(err) // The write took effect.

	server.SetFaults(standin.Faults{Down: true})
	_, err = client.Get(ctx, platform.Roots, "r")
	is.True(errors.As(err, &unavailable) && !unavailable.Unknown)

	server.SetFaults(standin.Faults{Slow: time.Minute})
	before := client.Calls()
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = client.Get(short, platform.Roots, "r")
	is.True(errors.As(err, &unavailable))
	is.Equal(client.Calls(), before+1) // Nothing is retried.

	server.SetFaults(standin.Faults{LagList: time.Hour})
	server.SetHost(standin.Host{Host: "h2"})
	list, err := client.List(ctx, platform.Hosts)
	is.NoErr(err)
	is.Equal(len(list.Items), 0)
}

var errSeen = errors.New("seen")

// await watches until an object of the given name comes.
func await(client *platform.Client, name string, opened func()) error {
	return client.Watch(context.Background(), platform.Roots, "1", func(e platform.Event) error {
		if e.Type == platform.Bookmark {
			opened()
		}
		if e.Object.Name == name {
			return errSeen
		}
		return nil
	})
}

func TestWatch(t *testing.T) {
	create := func(client *platform.Client, name string) func() {
		return func() {
			if _, err := client.Create(context.Background(), platform.Roots, object(name, "", "1")); err != nil {
				panic(err)
			}
		}
	}
	t.Run("tells of changes", func(t *testing.T) {
		is := is.New(t)
		_, client := start(t, time.Second)
		is.True(errors.Is(await(client, "r", create(client, "r")), errSeen))
		is.True(errors.Is(await(client, "r", func() {}), errSeen)) // A new watch continues at its version.
	})
	t.Run("silent", func(t *testing.T) {
		is := is.New(t)
		server, client := start(t, 100*time.Millisecond)
		err := await(client, "r", func() {
			server.SilenceWatches()
			create(client, "r")()
		})
		is.True(errors.Is(err, platform.ErrSilent))
		is.True(errors.Is(await(client, "r", func() {}), errSeen)) // New watches work.
	})
	t.Run("expired", func(t *testing.T) {
		is := is.New(t)
		server, client := start(t, time.Second)
		for range 5000 {
			server.SetHost(standin.Host{Host: "h1"})
		}
		is.True(errors.Is(await(client, "r", func() {}), platform.ErrExpired))
	})
	t.Run("down", func(t *testing.T) {
		is := is.New(t)
		server, client := start(t, 5*time.Second)
		err := await(client, "r", func() { server.SetFaults(standin.Faults{Down: true}) })
		var unavailable *platform.ErrUnavailable
		is.True(errors.As(err, &unavailable))
	})
}
