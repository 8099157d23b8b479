package command

import (
	"errors"
	"flag"
	"net/netip"
	"slices"
	"strings"
)

// OneArgument returns the only argument after the flags.
func OneArgument(flags *flag.FlagSet, what string) (string, error) {
	if flags.NArg() != 1 {
		return "", UsageError("give one %s after the flags, found %d arguments", what, flags.NArg())
	}
	return flags.Arg(0), nil
}

// VerbAndName reads "VERB NAME" with flags before the verb, after it or after the name.
func VerbAndName(flags *flag.FlagSet, verbs ...string) (verb, name string, err error) {
	var words []string
	for rest := flags.Args(); len(rest) > 0; rest = flags.Args() {
		words = append(words, rest[0])
		if err := flags.Parse(rest[1:]); err != nil {
			return "", "", UsageError("%v", err)
		}
	}
	if len(words) != 2 || !slices.Contains(verbs, words[0]) {
		return "", "", UsageError("give %s and a name, found %q", strings.Join(verbs, " or "), words)
	}
	return words[0], words[1], nil
}

// NoArguments refuses arguments after the flags.
func NoArguments(flags *flag.FlagSet) error {
	if flags.NArg() > 0 {
		return UsageError("unexpected argument %q", flags.Arg(0))
	}
	return nil
}

// AddressFlag is a flag that holds an address and port.
type AddressFlag struct {
	Address *netip.AddrPort
}

// String returns the present value.
func (f AddressFlag) String() string {
	if f.Address == nil || !f.Address.IsValid() {
		return ""
	}
	return f.Address.String()
}

// Set parses a value.
func (f AddressFlag) Set(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.New("give an IP address and port, such as 127.0.0.1:18080")
	}
	*f.Address = address
	return nil
}
