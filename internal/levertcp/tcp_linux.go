// Package levertcp reads and sets what the kernel knows of TCP connections.
package levertcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// BoundSilence returns a dialer's control function that makes the kernel end a
// connection whose peer acknowledges nothing for d.
func BoundSilence(d time.Duration) func(context.Context, string, string, syscall.RawConn) error {
	return func(_ context.Context, _, _ string, rc syscall.RawConn) error {
		return control(rc, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
	}
}

// Quiet reports whether an idle connection is open and has nothing to read.
func Quiet(c net.Conn) bool {
	var peek error
	err := withSocket(c, func(fd int) error {
		var b [1]byte
		_, _, peek = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return nil
	})
	return err == nil && errors.Is(peek, unix.EAGAIN)
}

// RoundTrip returns the kernel's estimate of a connection's round-trip time.
func RoundTrip(c net.Conn) (time.Duration, error) {
	var rtt time.Duration
	err := withSocket(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return err
		}
		rtt = time.Duration(info.Rtt) * time.Microsecond
		return nil
	})
	return rtt, err
}

func withSocket(c net.Conn, f func(fd int) error) error {
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
	var inner error
	if err := rc.Control(func(fd uintptr) { inner = f(int(fd)) }); err != nil {
		return errors.Trace(err)
	}
	return inner
}
