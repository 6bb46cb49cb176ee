package main

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"time"

	"arbutuslever.dev/lever/internal/leverdrain"
	"arbutuslever.dev/lever/internal/leverentry"
	"arbutuslever.dev/lever/internal/leverkernel"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverops"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leversettings"
	"arbutuslever.dev/lever/internal/leverstore"

	"github.com/juju/errors"
)

const (
	// storeTimeout bounds a call to the platform's store.
	storeTimeout   = 2 * time.Second
	headerTimeout  = 5 * time.Second
	readTimeout    = 15 * time.Second
	writeTimeout   = 75 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// answerFraction is the fraction of the limit of a stop at which the last
	// requests are answered. The rest lets the claims of those that did not run
	// be released and the answers reach their callers.
	answerFraction = 0.8
	// closeFraction is the fraction of the limit until which connections may
	// remain open.
	closeFraction = 0.9
)

// daemon serves this project's own protocols, the native API (leverkernel).
type daemon struct {
	settings       *leversettings.VM
	reload         func() (*leversettings.VM, error)
	sink           *leverlog.Sink
	log            leverlog.Logger
	node           *leverkernel.Node
	peerKeys       *leverpeer.Keys
	opsKeys        *leverpeer.Keys
	callerListener net.Listener
	peerListener   net.Listener
	http           *http.Server
	conns          leverdrain.Tracker
	// pending is how long the stop signal may have been pending before it was received.
	pending time.Duration
}

// newDaemon opens the listeners before anything is started, so that start-up
// fails if a port is in use.
func newDaemon(s *leversettings.VM, reload func() (*leversettings.VM, error)) (*daemon, error) {
	sink := leverlog.NewSink(os.Stderr)
	d := &daemon{
		settings: s, reload: reload, sink: sink, log: leverlog.New(sink, s.LogLevel, string(s.VM)),
		peerKeys: leverpeer.NewKeys(s.PeerKeys...), opsKeys: leverpeer.NewKeys(s.OperatorKeys...),
	}
	serverTLS, clientTLS, err := s.TLS.Configs()
	if err != nil {
		return nil, err
	}
	if d.callerListener, err = listen(s.CallerListen, serverTLS.ForCallers()); err != nil {
		return nil, err
	}
	if d.peerListener, err = listen(s.PeerListen, serverTLS.ForPeers()); err != nil {
		return nil, err
	}
	d.node = leverkernel.New(d.nodeOptions(clientTLS))
	d.node.Counters().Publish("arbutuslever")
	d.http = d.newServer()
	return d, nil
}

func listen(address string, c *tls.Config) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	if c != nil {
		ln = tls.NewListener(ln, c)
	}
	return ln, nil
}

func (d *daemon) nodeOptions(clientTLS *tls.Config) leverkernel.Options {
	s := d.settings
	o := leverkernel.Options{
		Self: levermsg.VM{
			ID: s.VM, Domain: s.Domain, Peer: s.PeerListen, Caller: s.CallerListen, State: levermsg.Live,
		},
		PeerKeys: d.peerKeys,
		Store:    &leverstore.Client{Base: s.Platform, Token: s.PlatformToken, Timeout: storeTimeout},
		Log:      d.log,
		TLS:      clientTLS,

		MaxConnsPerUpstream: s.UpstreamConnections,
	}
	for _, seed := range s.Seeds {
		o.Seeds = append(o.Seeds, levermsg.VM{ID: seed.VM, Peer: seed.Peer, State: levermsg.Live})
	}
	return o
}

func (d *daemon) newServer() *http.Server {
	mux := http.NewServeMux()
	n := d.node
	entry := &leverentry.API{
		VM: d.settings.VM, Engine: n.Engine(), Timer: n.Timer(), Counters: n.Counters(), Events: n.Events(),
		Document: n.Document, Ready: n.Ready, Usable: n.Usable, Leaving: n.Leaving,
	}
	entry.Register(mux)
	ops := &leverops.API{Node: n, Keys: d.opsKeys}
	ops.Register(mux)
	return &http.Server{
		Handler: mux, ConnState: d.conns.ConnState, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// serve runs until SIGTERM or SIGINT, then performs a planned stop. SIGHUP
// reloads the keys.
func (d *daemon) serve(sig *signals) error {
	defer d.sink.Close()
	d.node.Start(d.peerListener)
	go d.runServer()
	d.log.For("daemon").Info("process started", "callers", d.settings.CallerListen, "peers", d.settings.PeerListen)
	d.pending = sig.await(&reloader{Signalled: d.reloadKeys})
	return d.stop()
}

func (d *daemon) runServer() {
	// TLS ends below the tracked connections, so that they count only the bytes
	// of requests.
	if err := d.http.Serve(d.conns.Listener(d.callerListener)); !errors.Is(err, http.ErrServerClosed) && !d.node.Leaving() {
		d.log.For("daemon").Error("server for callers failed", "err", err)
	}
}

// reloadKeys reads the settings again and replaces the peers' and the
// operators' keys. Invalid settings change nothing.
func (d *daemon) reloadKeys() {
	l := d.log.For("daemon")
	s, err := d.reload()
	if err != nil {
		l.Error("settings are invalid; keeping the current keys", "err", err)
		return
	}
	d.peerKeys.Set(s.PeerKeys...)
	d.opsKeys.Set(s.OperatorKeys...)
	l.Info("keys were reloaded")
}

// stop performs a planned stop. It first announces the stop to the load
// balancer and the peers, then closes the callers' connections as they become
// idle, and then ends the node. Each request that was read is answered: those
// that can't be served in the time left are refused, and those still in flight
// near its end get their final answer. It returns an error if the limit passed
// with requests in flight.
func (d *daemon) stop() error {
	l := d.log.For("daemon")
	sys := d.node.Document().System
	wait, limit := milliseconds(sys.StopWaitMS), milliseconds(sys.StopLimitMS)
	closeAt := time.Now().Add(wait - d.pending)
	at := func(fraction float64) time.Time { return closeAt.Add(time.Duration(fraction * float64(limit))) }
	l.Info("planned stop started", "in-flight", d.node.Engine().InFlight(), "wait", wait, "limit", limit, "pending", d.pending.Round(time.Millisecond))
	d.node.EndBy(at(answerFraction))
	d.node.Leave()
	time.Sleep(time.Until(closeAt))
	d.logConns("the callers' listener closes")
	// An error means that the listener has closed.
	_ = d.callerListener.Close()
	open := d.conns.Close(at(closeFraction))
	ctx, cancel := context.WithDeadline(context.Background(), at(1))
	defer cancel()
	err := d.node.Drain(ctx)
	if busy := d.conns.Stats().Busy; err == nil && open > 0 && busy > 0 {
		err = errors.Errorf("%d connections were still busy when the stop timed out", busy)
	}
	d.node.Stop()
	// The connections are closed even if this returns an error.
	_ = d.http.Close()
	if err != nil {
		l.Error("planned stop cut requests in flight", "err", err)
		return err
	}
	l.Info("process stopped")
	return nil
}

func (d *daemon) logConns(message string) {
	s := d.conns.Stats()
	d.log.For("daemon").Info(message, "new", s.New, "idle", s.Idle, "busy", s.Busy, "in-flight", d.node.Engine().InFlight())
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
