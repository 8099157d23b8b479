package standin

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"strings"

	"ryelug/cmd/ryelug/command"
	"ryelug/standin/platform"
)

// platformStandin runs a stand-in of the platform.
type platformStandin struct {
	listen      netip.AddrPort
	environment string
	hosts       hostsFlag
}

// Text returns what the command says of itself.
func (*platformStandin) Text() command.Text {
	return command.Text{
		Name:     "platform",
		Synopsis: "stand in for the platform's object API",
		Usage: `platform -listen ADDRESS [-host NAME,DATA_CENTRE,PEER_ADDRESS]...

Keep versioned objects in memory, with conditional updates and watches, and list
the given hosts.

Example:
  ryelug standin platform -listen 127.0.0.1:9000 -environment trial \
    -host khomas-1,khomas-a,127.0.0.1:9201 -host khomas-2,khomas-b,127.0.0.1:9202

Flags:
`,
	}
}

// SetFlags sets the flags.
func (p *platformStandin) SetFlags(flags *flag.FlagSet) {
	flags.Var(command.AddressFlag{Address: &p.listen}, "listen", "address and port to listen on; port 0 takes a free one")
	flags.StringVar(&p.environment, "environment", "trial", "environment that the hosts belong to")
	flags.Var(&p.hosts, "host", "a host as NAME,DATA_CENTRE,PEER_ADDRESS; may be given again")
}

// Run implements command.Action.
func (p *platformStandin) Run(ctx context.Context, flags *flag.FlagSet, to command.Streams) error {
	if !p.listen.IsValid() {
		return command.UsageError("-listen is missing")
	}
	if err := command.NoArguments(flags); err != nil {
		return err
	}
	standin := platform.New(platform.Config{Environment: p.environment, Hosts: p.hosts})
	return serve(ctx, standin, p.listen, to)
}

// hostsFlag is a flag that may be given once a host.
type hostsFlag []platform.Host

// String returns the names of the hosts.
func (h *hostsFlag) String() string {
	var names []string
	for _, host := range *h {
		names = append(names, host.Host)
	}
	return strings.Join(names, " ")
}

// Set adds a host.
func (h *hostsFlag) Set(text string) error {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return errors.New("give NAME,DATA_CENTRE,PEER_ADDRESS")
	}
	address, err := netip.ParseAddrPort(parts[2])
	if err != nil {
		return fmt.Errorf("%q is not an IP address and port", parts[2])
	}
	*h = append(*h, platform.Host{Host: parts[0], DataCentre: parts[1], PeerAddress: address})
	return nil
}
