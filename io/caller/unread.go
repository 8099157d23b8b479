package caller

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// unread returns how long bytes have waited on a connection since the last of them arrived, as the system knows it; zero
// where it does not.
func unread(from net.Conn) time.Duration {
	var waited time.Duration
	control(from, func(socket int) {
		if info, err := unix.GetsockoptTCPInfo(socket, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waited = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return waited
}

// ender is a connection that knows by itself whether its other end has closed it.
type ender interface{ HasEnded() bool }

// hasClosed tells whether the other end of a connection has closed it, which its reader may not have come to yet.
func hasClosed(at net.Conn) bool {
	if one, ok := at.(ender); ok {
		return one.HasEnded()
	}
	closed := false
	control(at, func(socket int) {
		state := []unix.PollFd{{Fd: int32(socket), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(state, 0)
		closed = err == nil && n > 0 && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}

// control calls f with the socket of a connection, if it has one.
func control(of net.Conn, f func(socket int)) {
	tcp, ok := of.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // The connection is closed; its reader learns that as well.
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}
