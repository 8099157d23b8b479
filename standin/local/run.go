package local

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"ryelug/router/process"
	"ryelug/router/settings"
)

// run starts the routers and serves until ctx ends.
func (f *fleet) run(ctx context.Context) error {
	if err := Publish(ctx, f.platform, f.endpoints); err != nil {
		return err
	}
	group, running := errgroup.WithContext(ctx)
	for i := range f.routers {
		one := &f.routers[i]
		given, err := f.settings(one)
		if err != nil {
			return err
		}
		one.process = process.New(process.Config{
			Settings: given,
			Callers:  one.listeners[0],
			Operator: one.listeners[1],
			Peers:    one.listeners[2],
			Log:      f.config.Log.WithField("router", one.host),
		})
	}
	for _, one := range f.routers {
		group.Go(func() error { return one.process.Run(running) })
	}
	group.Go(func() error {
		if err := f.awaitReady(running); err != nil {
			return err
		}
		f.explain()
		<-running.Done()
		fmt.Fprintln(f.config.Out, "\nShutting down: all requests finish first.")
		return nil
	})
	return group.Wait()
}

// settings returns the settings of a router, through the checks that a file goes through.
func (f *fleet) settings(one *router) (*settings.Settings, error) {
	text := fmt.Sprintf(`host = %q
data_centre = %q
environment = %q
callers_address = %q
operator_address = %q
peer_address = %q
platform_address = %q
peer_key = "the dev command's own key"
balancer_lag = %q
`, one.host, one.centre, Environment, one.listeners[0].Addr(), one.listeners[1].Addr(),
		one.listeners[2].Addr(), f.platform, balancerLag)
	return settings.Parse("dev", []byte(text))
}

// awaitReady waits until all routers take requests.
func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for !f.isReady() {
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return nil
			}
			return fmt.Errorf("the routers were not ready within %v; run with -verbose to see why", readyLimit)
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (f *fleet) isReady() bool {
	for _, one := range f.routers {
		if !one.process.Health().Healthy() {
			return false
		}
	}
	return true
}
