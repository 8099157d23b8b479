package process

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"ryelug/core/result"
)

// Listen opens a TCP listener. If the address is in use, the error has the result code AddressInUse.
func Listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, result.Wrap(result.AddressInUse, fmt.Errorf("another process listens on %s", address))
	}
	if err != nil {
		return nil, fmt.Errorf("can't listen on %s: %w", address, err)
	}
	return listener, nil
}

// ListenAll opens a TCP listener for each address, in order. If one fails, it closes those already open and returns
// the error of Listen.
func ListenAll(addresses ...netip.AddrPort) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := Listen(address)
		if err != nil {
			for _, opened := range listeners {
				opened.Close()
			}
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}
