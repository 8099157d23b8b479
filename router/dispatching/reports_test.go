package dispatching_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/engine"
	"ryelug/io/wire"
	"ryelug/router/directory"
	"ryelug/router/dispatching"
)

const (
	keptQueryDelay = 100 * time.Millisecond
	joined         = 2 // joined is the number of entries that join.
)

// keptRole is a dispatcher of a pool with one engine.
type keptRole struct {
	*dispatching.Role
	now time.Time
}

func newKeptRole() *keptRole {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &keptRole{now: time.Now(), Role: dispatching.New(dispatching.Config{
		Self: "host-0/1", StakeLease: time.Second, Log: log, Send: func(cell.RouterID, wire.Message) {},
	})}
}

// list lets the dispatcher know so many routers.
func (r *keptRole) list(routers int) {
	entries := make(map[cell.HostID]string, routers)
	for i := range routers {
		entries[cell.HostID(fmt.Sprint("host-", i))] = "z"
	}
	r.Adopt(r.now, directory.NewRegistered(&directory.Registry{
		Pools:     []directory.Pool{{ID: "chat", Engine: &engine.Profile{Slots: 1}}},
		Endpoints: []directory.Endpoint{{ID: "e", Start: "e", Pool: "chat", DataCentre: "z", Slots: 1}},
		Entries:   entries,
	}))
}

func routerOf(i int) cell.RouterID { return cell.RouterID(fmt.Sprintf("host-%d/1", i)) }

func (r *keptRole) join() {
	for i := range joined {
		r.Received(r.now, routerOf(i), &wire.Join{Cell: "chat", Session: 1}, r.now)
	}
}

func (r *keptRole) leave() {
	for i := range joined {
		r.Lost(r.now, routerOf(i))
	}
}

// queriesAfter asserts how many engines are to be asked after a further time.
func (r *keptRole) queriesAfter(is *is.I, span time.Duration, want int) {
	is.Helper()
	r.now = r.now.Add(span)
	targets := r.Targets(r.now)
	is.Equal(len(targets), want)
	for _, target := range targets {
		is.True(target.Kept)
	}
}

func TestKeptQueriesNeedMostEntries(t *testing.T) {
	t.Run("too early", func(t *testing.T) {
		role := newKeptRole()
		role.list(3)
		role.join()
		role.queriesAfter(is.New(t), keptQueryDelay-time.Millisecond, 0)
		role.queriesAfter(is.New(t), time.Millisecond, 1)
	})
	t.Run("half of the entries", func(t *testing.T) {
		role := newKeptRole()
		role.list(4)
		role.join()
		role.queriesAfter(is.New(t), time.Minute, 0)
	})
	t.Run("majority lost before the delay has passed", func(t *testing.T) {
		role := newKeptRole()
		role.list(3)
		role.join()
		role.queriesAfter(is.New(t), keptQueryDelay/2, 0)
		role.list(6)
		role.queriesAfter(is.New(t), time.Minute, 0)
	})
}

// An engine that stops being a target and becomes one again is asked again.
func TestEnginesAreNotAskedAgainWhenMoreRoutersAreListed(t *testing.T) {
	role := newKeptRole()
	role.list(3)
	role.join()
	role.queriesAfter(is.New(t), keptQueryDelay, 1)
	role.list(6)
	role.queriesAfter(is.New(t), keptQueryDelay, 1)
}

func TestEnginesAreAskedAgainWhenDispatchingStartsAnew(t *testing.T) {
	role := newKeptRole()
	role.list(3)
	role.join()
	role.queriesAfter(is.New(t), keptQueryDelay, 1)
	role.leave()
	role.queriesAfter(is.New(t), 0, 0)
	role.join()
	role.queriesAfter(is.New(t), keptQueryDelay-time.Millisecond, 0)
	role.queriesAfter(is.New(t), time.Millisecond, 1)
}
