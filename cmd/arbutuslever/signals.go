package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
)

// errStopped means that a stop signal arrived before the process served.
const errStopped = errors.ConstError("a signal stopped the process before it served")

// signals holds the signals that the process receives. Those that stop it have a
// channel of their own, so that no reload can displace or delay them. A signal
// that arrives while one of its kind is pending counts as the same.
type signals struct {
	stops, reloads chan os.Signal
	clock          levertimer.SignalClock
}

// notifySignals makes the process receive its signals. A write to a broken
// standard output or error then returns an error instead of ending the process.
func notifySignals() *signals {
	s := &signals{stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// start runs f, which prepares the process for serving, and returns its error.
// If a stop signal arrives meanwhile, start returns errStopped without waiting
// for f.
func (s *signals) start(f func() error) error {
	p := &preparation{f: f, done: make(chan error, 1)}
	go p.run()
	select {
	case err := <-p.done:
		return err
	case <-s.stops:
		return errStopped
	}
}

// preparation runs one function in the background.
type preparation struct {
	f    func() error
	done chan error
}

func (p *preparation) run() { p.done <- p.f() }

// await reloads the settings until a stop signal arrives. It doesn't wait for a
// reload in progress. It returns how long the signal may have been pending while the
// process did not run.
func (s *signals) await(r *reloader) time.Duration {
	r.signals, r.done = s.reloads, make(chan struct{})
	go r.run()
	defer close(r.done)
	ticker := time.NewTicker(levertimer.SignalTick)
	defer ticker.Stop()
	s.clock.Tick()
	for {
		select {
		case <-s.stops:
			return s.clock.Pending()
		case <-ticker.C:
			s.clock.Tick()
		}
	}
}

// reloader reloads the settings, one reload at a time. Its exported fields must
// be set before use.
type reloader struct {
	// Signalled is called after SIGHUP.
	Signalled func()
	// Ticked is called at each tick of Ticks, which may be nil.
	Ticked func()
	Ticks  <-chan time.Time

	signals chan os.Signal
	done    chan struct{}
}

func (r *reloader) run() {
	for {
		select {
		case <-r.signals:
			r.Signalled()
		case <-r.Ticks:
			r.Ticked()
		case <-r.done:
			return
		}
	}
}
