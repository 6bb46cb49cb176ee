package main

import (
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// send delivers a signal as package signal does, which never blocks.
func send(c chan os.Signal, s os.Signal) {
	select {
	case c <- s:
	default:
	}
}

// TestSlowReloadDelayedTheStop checks that signals during a reload cause one
// more, and that a stop doesn't wait for it.
func TestSlowReloadDelayedTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &signals{stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
		began, release, stopped := 0, make(chan struct{}), make(chan struct{})
		go func() {
			s.await(&reloader{Signalled: func() { began++; <-release }})
			close(stopped)
		}()
		for range 5 {
			send(s.reloads, syscall.SIGHUP)
			synctest.Wait()
		}
		is.Equal(began, 1)
		release <- struct{}{}
		synctest.Wait()
		is.Equal(began, 2)
		send(s.reloads, syscall.SIGHUP)
		send(s.stops, syscall.SIGTERM)
		synctest.Wait()
		<-stopped // while the second reload is in progress
		send(s.stops, syscall.SIGTERM)
		for range 5 {
			send(s.reloads, syscall.SIGHUP)
		}
		close(release)
		synctest.Wait()
	})
}

// TestStopDuringStart checks that a stop signal ends a start that doesn't end by
// itself.
func TestStopDuringStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &signals{stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
		is.NoErr(s.start(func() error { time.Sleep(time.Second); return nil }))
		send(s.stops, syscall.SIGTERM)
		began := time.Now()
		is.True(errors.Is(s.start(func() error { time.Sleep(time.Hour); return nil }), errStopped))
		is.Equal(time.Since(began), time.Duration(0))
		time.Sleep(time.Hour)
	})
}

// TestStopSignalDuringAPause stops the process's clock of uptime, with a stop signal in
// the pause. The process must count its grace period from the start of the pause; it was
// killed during its planned stop.
func TestStopSignalDuringAPause(t *testing.T) {
	for name, asleep := range map[string]time.Duration{"no pause": 0, "a pause": 2800 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				var slept atomic.Int64
				s := &signals{stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
				s.clock.Boot = func() time.Duration { return time.Since(began) + time.Duration(slept.Load()) }
				pending := make(chan time.Duration, 1)
				go func() { pending <- s.await(&reloader{}) }()
				time.Sleep(time.Second + 30*time.Millisecond)
				slept.Store(int64(asleep))
				send(s.stops, syscall.SIGTERM)
				got := <-pending
				is.True(got >= asleep)
				is.True(got <= asleep+levertimer.SignalTick)
				is.True(asleep > 0 || got == 0)
			})
		})
	}
}
