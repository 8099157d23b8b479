package caller

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// sinceLastReceive returns the time since the kernel last received data on a TCP connection (TCP_INFO, in milliseconds).
// It returns zero if that is not available.
func sinceLastReceive(conn net.Conn) time.Duration {
	var waited time.Duration
	withSocket(conn, func(socket int) {
		if info, err := unix.GetsockoptTCPInfo(socket, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waited = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return waited
}

// closeDetector is implemented by connections without a socket of their own, which know whether the other end has closed them.
type closeDetector interface{ IsRemoteClosed() bool }

// hasClosed reports whether the other end has closed the connection, even if data remains to be read before the end.
func hasClosed(conn net.Conn) bool {
	if detector, ok := conn.(closeDetector); ok {
		return detector.IsRemoteClosed()
	}
	return poll(conn, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// hasUnread reports whether received bytes wait to be read on a TCP connection that the other end has not closed; it is
// false for other connections.
func hasUnread(conn net.Conn) bool {
	return poll(conn, unix.POLLIN|unix.POLLRDHUP)&(unix.POLLIN|unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) == unix.POLLIN
}

// unreadDetector is implemented by connections without a socket of their own, which know whether a read would return at once.
type unreadDetector interface{ IsReadable() bool }

// isReadable reports whether a read would return at once, with received bytes or the end of the connection.
func isReadable(conn net.Conn) bool {
	if detector, ok := conn.(unreadDetector); ok {
		return detector.IsReadable()
	}
	return poll(conn, unix.POLLIN) != 0
}

// poll returns the events that have occurred on a TCP connection; zero for other connections.
func poll(conn net.Conn, events int16) int16 {
	var occurred int16
	withSocket(conn, func(socket int) {
		state := []unix.PollFd{{Fd: int32(socket), Events: events}}
		if n, err := unix.Poll(state, 0); err == nil && n > 0 {
			occurred = state[0].Revents
		}
	})
	return occurred
}

// withSocket calls f with the file descriptor of a TCP connection; it does nothing for other connections.
func withSocket(conn net.Conn, f func(socket int)) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // The connection is closed, which its reader will see too.
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}
