package main

import (
	"context"
	"flag"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"ryelug/cmd/ryelug/command"
	"ryelug/io/operator"
	"ryelug/router/process"
	"ryelug/router/settings"
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "RYELUG_SETTINGS"

// routerCommand runs a router.
type routerCommand struct {
	settings string
}

// Text returns what the command says of itself.
func (*routerCommand) Text() command.Text {
	return command.Text{
		Name:     "router",
		Synopsis: "run a router",
		Usage: `router -settings FILE

Run a router until it is interrupted; then it finishes all its requests and ends.
docs/SETTINGS.md lists the keys of the file.

Example:
  ryelug router -settings /etc/ryelug/router.toml

Flags:
`,
	}
}

// SetFlags sets the flags.
func (r *routerCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&r.settings, "settings", os.Getenv(settingsVariable), "the settings file; by default the one that RYELUG_SETTINGS names")
}

// Run implements command.Action.
func (r *routerCommand) Run(ctx context.Context, flags *flag.FlagSet, to command.Streams) error {
	if err := command.NoArguments(flags); err != nil {
		return err
	}
	if r.settings == "" {
		return command.UsageError("-settings is missing")
	}
	given, err := settings.Load(r.settings)
	if err != nil {
		return err
	}
	if given.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(given.MemoryLimit) << 20 / 4 * 3)
	}
	ring := operator.NewRing(to.Out)
	defer ring.Close()
	log := operator.NewLog(operator.LogConfig{Level: given.LogLevel, Format: given.LogFormat, Output: ring})
	one, err := newProcess(given, log, ring)
	if err != nil {
		return err
	}
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP) // Without signal.Stop, because a SIGHUP would then kill the process while it ends.
	go r.reload(ctx, given, log, hangUps)
	log.WithFields(logrus.Fields{"settings": r.settings, "host": given.Host}).Info("The router starts.")
	return one.Run(ctx)
}

// reload reads the settings anew at each SIGHUP. The level of the log changes at once; what
// else has changed is told, and counts from the next start on. Wrong settings change nothing.
func (r *routerCommand) reload(ctx context.Context, given *settings.Settings, log *logrus.Logger, hangUps <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
		}
		next, err := settings.Load(r.settings)
		if err != nil {
			log.WithError(err).Error("The settings can't be read again; the former ones stay in force.")
			continue
		}
		log.SetLevel(next.LogLevel)
		log.WithField("changed", settings.Changes(given, next)).Info("The settings were read again.")
	}
}

// newProcess opens the listeners of a router, so that an address in use is told at once.
func newProcess(given *settings.Settings, log logrus.FieldLogger, ring *operator.Ring) (*process.Process, error) {
	addresses := []netip.AddrPort{given.CallersAddress, given.OperatorAddress, given.PeerAddress}
	if given.OthersAddress.IsValid() {
		addresses = append(addresses, given.OthersAddress)
	}
	listeners, err := process.ListenAll(addresses...)
	if err != nil {
		return nil, err
	}
	config := process.Config{
		Settings: given,
		Callers:  listeners[0],
		Operator: listeners[1],
		Peers:    listeners[2],
		Log:      log,
		Ring:     ring,
	}
	if given.OthersAddress.IsValid() {
		config.Others = listeners[3]
	}
	return process.New(config), nil
}
