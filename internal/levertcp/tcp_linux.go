// Package levertcp provides access to Linux socket options and the kernel's
// state of TCP connections.
package levertcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for a net.Dialer that sets
// TCP_USER_TIMEOUT: the kernel closes a connection whose sent data is not
// acknowledged for d.
func UserTimeout(d time.Duration) func(context.Context, string, string, syscall.RawConn) error {
	return func(_ context.Context, _, _ string, rc syscall.RawConn) error {
		return control(rc, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
	}
}

// IsIdle reports whether a connection is open and has no data to read. It does
// not consume data.
func IsIdle(c net.Conn) bool {
	var peek error
	err := withSocketFD(c, func(fd int) error {
		var b [1]byte
		_, _, peek = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return nil
	})
	return err == nil && errors.Is(peek, unix.EAGAIN)
}

// RoundTrip returns the kernel's smoothed round-trip time of a connection.
func RoundTrip(c net.Conn) (time.Duration, error) {
	var rtt time.Duration
	err := withSocketFD(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return err
		}
		rtt = time.Duration(info.Rtt) * time.Microsecond
		return nil
	})
	return rtt, err
}

// IsDelivered reports whether the peer has acknowledged all data that was sent on a
// connection, and its end if it was closed for writing.
func IsDelivered(c net.Conn) (bool, error) {
	delivered := false
	err := withSocketFD(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return err
		}
		delivered = info.Unacked == 0 && info.Notsent_bytes == 0
		return nil
	})
	return delivered, err
}

func withSocketFD(c net.Conn, f func(fd int) error) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errors.NotSupportedf("socket options of a %T", c)
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	return control(rc, f)
}

func control(rc syscall.RawConn, f func(fd int) error) error {
	var opErr error
	if err := rc.Control(func(fd uintptr) { opErr = f(int(fd)) }); err != nil {
		return errors.Trace(err)
	}
	return opErr
}
