// Package leverdrain closes the connections of an HTTP server without aborting
// requests. Unlike http.Server.Shutdown it never closes a connection from which
// the server has read a part of a request, and it waits until the last answer of
// a connection has reached its caller.
package leverdrain

import (
	"net"
	"net/http"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/levertcp"
)

const (
	// pollInterval is the interval at which Close looks for idle connections.
	pollInterval = 10 * time.Millisecond
	// firstRequestWait is how long a new connection may stay open for its first
	// request after Close has been called.
	firstRequestWait = 500 * time.Millisecond
	// lingerTimeout bounds how long a connection waits until the caller's host has
	// received the last answer.
	lingerTimeout = 500 * time.Millisecond
	// pauseThreshold is the time between two polls from which on the process counts
	// as having been paused. It then has pauseAllowance to write the answers that
	// became due meanwhile.
	pauseThreshold = 100 * time.Millisecond
	pauseAllowance = 100 * time.Millisecond
	// maxPauses bounds how often a process that is short of processor time gets it.
	maxPauses = 3
)

// Tracker tracks the connections of one http.Server. The zero value is ready to
// use. It is safe for concurrent use.
type Tracker struct {
	// Delivered replaces levertcp.IsDelivered in tests.
	Delivered func(net.Conn) (bool, error)

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
}

// Stats counts connections by their state.
type Stats struct {
	// New connections have not carried a request. Idle ones wait for the next
	// request, Busy ones have a request that is being read or answered.
	New, Idle, Busy int
}

// Listener returns a listener whose connections t tracks.
func (t *Tracker) Listener(ln net.Listener) net.Listener { return &listener{ln, t} }

// ConnState must be set as the ConnState hook of the server.
func (t *Tracker) ConnState(c net.Conn, s http.ConnState) {
	conn, ok := c.(*conn)
	switch {
	case ok && s == http.StateActive:
		conn.markActive()
	case ok && s == http.StateIdle:
		conn.markIdle()
	}
}

func (t *Tracker) delivered(c net.Conn) (bool, error) {
	if t.Delivered != nil {
		return t.Delivered(c)
	}
	return levertcp.IsDelivered(c)
}

// Stats counts the open connections.
func (t *Tracker) Stats() Stats {
	var s Stats
	for _, c := range t.list() {
		switch isNew, busy := c.state(); {
		case busy:
			s.Busy++
		case isNew:
			s.New++
		default:
			s.Idle++
		}
	}
	return s
}

// Close closes the connections as they become idle and returns how many are left
// at the time until. The listener must have been closed and the server must ask
// callers to close their connections.
func (t *Tracker) Close(until time.Time) int {
	t.setDraining(true)
	// The connections that are left are closed without waiting for their callers.
	defer t.setDraining(false)
	started := time.Now()
	// The process may also have been paused before.
	until = later(until, started.Add(pauseAllowance))
	pauses := 0
	for last := started; ; {
		conns := t.list()
		now := time.Now()
		if now.Sub(last) > pauseThreshold && pauses < maxPauses {
			pauses++
			until = later(until, now.Add(pauseAllowance))
		}
		last = now
		if len(conns) == 0 || !now.Before(until) {
			return len(conns)
		}
		for _, c := range conns {
			if isNew, _ := c.state(); !isNew || now.Sub(started) >= firstRequestWait {
				c.closeIfIdle()
			}
		}
		time.Sleep(pollInterval)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *Tracker) list() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		out = append(out, c)
	}
	return out
}

func (t *Tracker) add(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = make(map[*conn]struct{})
	}
	t.conns[c] = struct{}{}
}

func (t *Tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

func (t *Tracker) setDraining(v bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = v
}

func (t *Tracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, tracker: l.tracker}
	l.tracker.add(c)
	return c, nil
}
