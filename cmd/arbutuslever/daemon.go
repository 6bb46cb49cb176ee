package main

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

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
	storeTimeout = 2 * time.Second
	headTimeout  = 5 * time.Second
	bodyTimeout  = 15 * time.Second
	writeTimeout = 75 * time.Second
	idleTimeout  = 2 * time.Minute
	maxHead      = 16 << 10
)

// daemon is the running process.
type daemon struct {
	settings *leversettings.VM
	reload   func() (*leversettings.VM, error)
	log      leverlog.Logger
	node     *leverkernel.Node
	peerKeys *leverpeer.Keys
	opsKeys  *leverpeer.Keys
	callers  net.Listener
	peers    net.Listener
	http     *http.Server
}

// newDaemon opens the listeners, so that a port that is taken ends the start.
func newDaemon(s *leversettings.VM, reload func() (*leversettings.VM, error)) (*daemon, error) {
	d := &daemon{
		settings: s, reload: reload, log: leverlog.New(os.Stderr, s.LogLevel, string(s.VM)),
		peerKeys: leverpeer.NewKeys(s.PeerKeys...), opsKeys: leverpeer.NewKeys(s.OperatorKeys...),
	}
	serverTLS, clientTLS, err := s.TLS.Configs()
	if err != nil {
		return nil, err
	}
	if d.callers, err = listen(s.CallerListen, serverTLS.ForCallers()); err != nil {
		return nil, err
	}
	if d.peers, err = listen(s.PeerListen, serverTLS.ForPeers()); err != nil {
		return nil, err
	}
	d.node = leverkernel.New(d.options(clientTLS))
	d.node.Counters().Publish("arbutuslever")
	d.http = d.server()
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

func (d *daemon) options(clientTLS *tls.Config) leverkernel.Options {
	s := d.settings
	o := leverkernel.Options{
		Self: levermsg.VM{
			ID: s.VM, Domain: s.Domain, Peer: s.PeerListen, Caller: s.CallerListen, State: levermsg.Live,
		},
		PeerKeys: d.peerKeys,
		Store:    &leverstore.Client{Base: s.Platform, Token: s.PlatformToken, Timeout: storeTimeout},
		Log:      d.log,
		TLS:      clientTLS,

		MostConnections: s.UpstreamConnections,
	}
	for _, seed := range s.Seeds {
		o.Seeds = append(o.Seeds, levermsg.VM{ID: seed.VM, Peer: seed.Peer, State: levermsg.Live})
	}
	return o
}

func (d *daemon) server() *http.Server {
	mux := http.NewServeMux()
	n := d.node
	entry := &leverentry.Face{
		VM: d.settings.VM, Engine: n.Engine(), Timer: n.Timer(), Counters: n.Counters(), Events: n.Events(),
		Document: n.Document, Ready: n.Ready, Usable: n.Usable, Leaving: n.Leaving,
	}
	entry.Register(mux)
	ops := &leverops.Face{Node: n, Keys: d.opsKeys}
	ops.Register(mux)
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: headTimeout, ReadTimeout: bodyTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead,
	}
}

// serve runs until SIGTERM or SIGINT, then stops without cutting a request.
func (d *daemon) serve() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	d.node.Start(d.peers)
	go d.runCallers()
	d.log.For("daemon").Info("the process has started", "callers", d.settings.CallerListen, "peers", d.settings.PeerListen)
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		d.rotate()
	}
	return d.stop()
}

func (d *daemon) runCallers() {
	if err := d.http.Serve(d.callers); !errors.Is(err, http.ErrServerClosed) {
		d.log.For("daemon").Error("the callers' listener ended", "err", err)
	}
}

// rotate reads the keys again.
func (d *daemon) rotate() {
	l := d.log.For("daemon")
	s, err := d.reload()
	if err != nil {
		l.Error("the settings are not valid; the old keys stay", "err", err)
		return
	}
	d.peerKeys.Set(s.PeerKeys...)
	d.opsKeys.Set(s.OperatorKeys...)
	l.Info("the keys were read again")
}

// stop is a planned stop: the balancer and the peers hear of it first, then
// what is in flight ends, then the process.
func (d *daemon) stop() error {
	l := d.log.For("daemon")
	sys := d.node.Document().System
	l.Info("the stop begins")
	d.node.Leave()
	time.Sleep(time.Duration(sys.StopWaitMS) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(sys.StopLimitMS)*time.Millisecond)
	defer cancel()
	err := d.http.Shutdown(ctx)
	if drained := d.node.Drain(ctx); drained != nil {
		err = drained
	}
	d.node.Stop()
	if err != nil {
		l.Error("the stop cut requests", "err", err)
		return err
	}
	l.Info("the process has stopped")
	return nil
}
