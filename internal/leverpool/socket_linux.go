package leverpool

import (
	"context"
	"syscall"

	"golang.org/x/sys/unix"
)

// boundSilence makes the kernel end a connection whose peer acknowledges
// nothing for the time of silence.
func boundSilence(_ context.Context, _, _ string, rc syscall.RawConn) error {
	var set error
	err := rc.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// quiet reports whether an idle connection is open and has nothing to read. A
// byte that waits belongs to no request.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
