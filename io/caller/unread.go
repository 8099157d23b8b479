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
