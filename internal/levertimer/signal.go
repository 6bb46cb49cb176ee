package levertimer

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// SignalTick is the interval at which a SignalClock must be ticked.
	SignalTick = 100 * time.Millisecond
	// signalGap is the shortest time without a tick in which a signal may have been
	// pending. A process that is merely busy ticks late by less.
	signalGap = 2 * SignalTick
	// signalDelay is how long after a pause the process may receive a signal that was
	// pending during it.
	signalDelay = 100 * time.Millisecond
)

// SignalClock tells how long a signal that the process has just received may have
// been pending. A stopped process receives a signal only when it resumes, while its
// grace period counts from when the signal was sent. The kernel keeps no time of a
// pending signal, so that the last time at which the process is known to have run
// stands for it. The zero value is ready to use. It is not safe for concurrent use.
type SignalClock struct {
	// Boot replaces CLOCK_BOOTTIME in tests. Unlike the clock of package time it
	// counts the time in which the VM was suspended, and unlike the time of day it
	// is never set.
	Boot func() time.Duration

	known bool
	tick  time.Duration
	// began and ended are those of the last pause; ended is 0 if there was none.
	began, ended time.Duration
}

// Tick notes that the process runs.
func (c *SignalClock) Tick() { c.observe() }

// Pending returns how long ago a signal that is received now can have been sent at
// most: zero unless a pause has just ended.
func (c *SignalClock) Pending() time.Duration {
	now := c.observe()
	if c.ended == 0 || now-c.ended > signalDelay {
		return 0
	}
	return now - c.began
}

func (c *SignalClock) observe() time.Duration {
	now := c.now()
	if c.known && now-c.tick > signalGap {
		// A signal that was pending in a pause may still be so in one that follows at once.
		if c.ended == 0 || c.tick-c.ended > signalDelay {
			c.began = c.tick
		}
		c.ended = now
	}
	c.known, c.tick = true, now
	return now
}

func (c *SignalClock) now() time.Duration {
	if c.Boot != nil {
		return c.Boot()
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Each supported kernel has this clock. Without it no pause is seen.
		return 0
	}
	return time.Duration(t.Nano())
}
