// Package levergate serves one VM's callers and shuts the process down without
// aborting requests.
package levergate

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverdrain"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levernode"
	"arbutuslever.dev/lever/internal/levertcp"

	"github.com/juju/errors"
)

const (
	// headerTimeout and idleTimeout exceed every timeout that callers are given,
	// so that the server does not close a connection in use.
	headerTimeout = 30 * time.Second
	idleTimeout   = 120 * time.Second
	// maxHeaderBytes exceeds every header limit that a configuration may set.
	maxHeaderBytes = 64 << 10
	// drainFraction is the fraction of the grace period after which the listener
	// is closed. By then the balancer has had time to notice.
	drainFraction = 0.7
	// answerFraction is the fraction of the grace period at which the last
	// requests are answered.
	answerFraction = 0.9
	// endFraction is the fraction of the grace period at which the process ends.
	endFraction = 0.97
	// pollInterval is the interval at which a stopping process checks for
	// requests in flight.
	pollInterval = 10 * time.Millisecond
)

// Gate runs the servers for one VM's callers and for the balancer's readiness
// checks. Its exported fields must be set before Serve.
type Gate struct {
	Node *levernode.Node
	Log  leverlog.Logger
	// Callers serves the callers, Ready the balancer's readiness checks.
	Callers, Ready http.Handler

	// front serves Callers, ready serves Ready.
	front, ready *http.Server
	// listener is that of front, conns are its connections.
	listener net.Listener
	conns    leverdrain.Tracker
}

// Serve starts serving both listeners and returns.
func (g *Gate) Serve(callers, ready net.Listener) {
	g.listener = callers
	g.front = &http.Server{
		Handler: g.Callers, ConnContext: withCallerConn, ConnState: g.conns.ConnState,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	g.ready = &http.Server{Handler: g.Ready, ReadHeaderTimeout: headerTimeout}
	go g.runServer(g.front, g.conns.Listener(callers))
	go g.runServer(g.ready, ready)
}

func (g *Gate) runServer(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !g.Node.Stopping() {
		g.Log.Error("listener failed", "address", ln.Addr(), "err", err)
	}
}

// Stop leaves the balancer's rotation, serves the requests that still arrive,
// closes the callers' connections as they become idle and returns within grace.
// Each request that was read is answered: those that can't be served in the time
// left are refused, and those still in flight near its end get their final answer.
func (g *Gate) Stop(grace time.Duration) { g.StopPending(grace, 0) }

// StopPending is Stop after a signal that may have been pending for some time, which
// is part of grace. The process is killed at the end of grace, so a stop that is too
// early is better than one that is cut off.
func (g *Gate) StopPending(grace, pending time.Duration) {
	started := time.Now()
	at := func(fraction float64) time.Time {
		return started.Add(time.Duration(fraction*float64(grace)) - pending)
	}
	g.Log.Info("planned stop started", "in-flight", g.Node.Busy(), "grace", grace, "pending", pending.Round(time.Millisecond))
	g.Node.Leave()
	g.Node.EndBy(at(answerFraction))
	time.Sleep(time.Until(at(drainFraction)))
	g.logConns("the callers' listener closes")
	// An error means that the listener has closed.
	_ = g.listener.Close()
	if g.conns.Close(at(endFraction)) > 0 {
		g.logConns("the grace period ends with open connections")
	}
	for g.Node.Busy() > 0 && time.Now().Before(at(endFraction)) {
		time.Sleep(pollInterval)
	}
	g.Node.Stop()
	// The balancer no longer checks readiness, so an error does not matter.
	_ = g.ready.Close()
	g.Log.Info("process stopped", "took", time.Since(started).Round(time.Millisecond))
}

func (g *Gate) logConns(message string) {
	s := g.conns.Stats()
	g.Log.Info(message, "new", s.New, "idle", s.Idle, "busy", s.Busy, "in-flight", g.Node.Busy())
}

// Kill closes all listeners and connections at once, as if the process had been
// killed.
func (g *Gate) Kill() {
	// Errors don't matter: everything is closed whether or not one is returned.
	_ = g.front.Close()
	_ = g.ready.Close()
}

// callerConn is one caller's connection.
type callerConn struct {
	conn net.Conn
	// carriedRequest is set once the connection has carried a request.
	carriedRequest atomic.Bool
}

type callerConnKey struct{}

func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{conn: c})
}

// CallerRTT returns the time that a request and its answer take on the network
// between the caller and this VM: one round trip, or two if the connection was
// opened for the request.
func (g *Gate) CallerRTT(r *http.Request) time.Duration {
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return 0
	}
	rtt, err := levertcp.RoundTrip(c.conn)
	if err != nil {
		g.Log.Debug("the round-trip time to a caller is unknown", "err", err)
	}
	if c.carriedRequest.Swap(true) {
		return rtt
	}
	return 2 * rtt
}
