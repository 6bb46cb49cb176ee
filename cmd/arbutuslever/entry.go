package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"sync/atomic"
	"syscall"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermetric"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/levernode"
	"arbutuslever.dev/lever/internal/levertcp"
	"arbutuslever.dev/lever/platform"

	"github.com/juju/errors"
)

const (
	// entryHeadTimeout and entryIdleTimeout are longer than any that the
	// callers are told of: a connection is not closed under them.
	entryHeadTimeout = 30 * time.Second
	entryIdleTimeout = 120 * time.Second
	// entryMaxHead is above every limit that the configuration may name.
	entryMaxHead = 64 << 10
	// entryBodyLimit is used until the configuration is known.
	entryBodyLimit = 1 << 20
	// drainPart is the part of the grace after which the listener is closed.
	drainPart = 0.7
	// endPart is the part of the grace at which the process ends.
	endPart = 0.95
	// reloadPeriod is how often the settings file is looked at: it may change
	// without a signal.
	reloadPeriod = 2 * time.Second
	// metricsPort is the port that deploy/system.toml names.
	metricsPort = "9464"
	// storeSilence ends a connection to the store whose peer is silent.
	storeSilence = time.Second
)

// entry is the process on the users' platform.
type entry struct {
	path     string
	settings *platform.Settings
	sink     *leverlog.Sink
	log      leverlog.Logger
	metrics  *levermetric.Set
	node     *levernode.Node
	front    *http.Server
	ready    *http.Server
	measure  *http.Server
}

func newEntry(path string, s *platform.Settings) *entry {
	sink := leverlog.NewSink(os.Stdout)
	log := leverlog.New(sink, "info", s.Node)
	e := &entry{path: path, settings: s, sink: sink, log: log.For("entry"), metrics: &levermetric.Set{}}
	e.metrics.Gauge("log-lines-dropped", func() float64 { return float64(sink.Dropped()) })
	storeLog := log.For("store")
	store := &platform.Store{
		Base: "http://" + s.Platform.Address, HTTP: storeClient(),
		Foreign: func(kind, name string, err error) {
			storeLog.Warn("an object can't be read; it is left out", "kind", kind, "name", name, "err", err)
		},
	}
	e.node = levernode.New(levernode.Options{
		Self: levermsg.VM{
			ID: leverid.VMID(s.Node), Domain: leverid.Domain(s.Zone), Peer: s.Listen.Control, Caller: s.Listen.Front,
			State: levermsg.Live, Power: s.Power(),
		},
		Store: store, Protocol: platform.Protocol{}, Log: log, PeerKey: s.Platform.Address,
		Seeds: seeds(s), Terms: terms(s), Metrics: e.metrics,
	})
	e.servers()
	return e
}

func (e *entry) servers() {
	face := &platform.Face{Engine: e.node.Engine(), Way: e.way, BodyLimit: e.bodyLimit, Closing: e.node.Stopping}
	e.front = &http.Server{
		Handler: face, ConnContext: withCaller, ReadHeaderTimeout: entryHeadTimeout, IdleTimeout: entryIdleTimeout, MaxHeaderBytes: entryMaxHead,
	}
	e.ready = &http.Server{Handler: &platform.Ready{Ready: e.node.Ready}, ReadHeaderTimeout: entryHeadTimeout}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.metrics)
	e.measure = &http.Server{Handler: mux, ReadHeaderTimeout: entryHeadTimeout}
}

func terms(s *platform.Settings) leverbudget.Terms {
	return leverbudget.Terms{
		Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack,
		Window: time.Duration(s.Bounds.RetryWindowS * float64(time.Second)),
	}
}

func seeds(s *platform.Settings) []levermsg.VM {
	out := make([]levermsg.VM, len(s.Seeds))
	for i, address := range s.Seeds {
		// The name is not known; the address stands for it.
		out[i] = levermsg.VM{ID: leverid.VMID(address), Peer: address, State: levermsg.Live}
	}
	return out
}

func storeClient() *http.Client {
	d := &net.Dialer{
		Timeout:         storeSilence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: storeSilence, Interval: storeSilence / 2, Count: 2},
	}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4}}
}

// caller is one connection of a caller.
type caller struct {
	conn net.Conn
	// used says that the connection has carried a request.
	used atomic.Bool
}

type callerKey struct{}

func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, &caller{conn: c})
}

// way returns the time that a request and its answer take between its caller
// and this VM: a round trip, and one more if the connection was opened for it.
func (e *entry) way(r *http.Request) time.Duration {
	c, ok := r.Context().Value(callerKey{}).(*caller)
	if !ok {
		return 0
	}
	rtt, err := levertcp.RoundTrip(c.conn)
	if err != nil {
		e.log.Debug("the round trip to a caller is not known", "err", err)
	}
	if c.used.Swap(true) {
		return rtt
	}
	return 2 * rtt
}

func (e *entry) bodyLimit() int64 {
	if c := e.node.Engine().Directory.View().Config; c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return entryBodyLimit
}

// serve runs until SIGTERM or SIGINT.
func (e *entry) serve() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var listeners [3]net.Listener
	for i, address := range []string{e.settings.Listen.Front, e.settings.Listen.Ready, e.settings.Listen.Control} {
		var err error
		if listeners[i], err = net.Listen("tcp4", address); err != nil {
			return errors.Annotatef(err, "listen on %s", address)
		}
	}
	go e.runServer(e.front, listeners[0])
	go e.runServer(e.ready, listeners[1])
	if ln, err := net.Listen("tcp4", net.JoinHostPort(e.settings.IP, metricsPort)); err == nil {
		go e.runServer(e.measure, ln)
	} else {
		e.log.Warn("the metrics are not served", "err", err)
	}
	e.node.Start(listeners[2])
	e.log.Info("the process has started", "front", e.settings.Listen.Front, "domain", e.settings.Zone, "power", e.settings.Power())
	looks := time.NewTicker(reloadPeriod)
	defer looks.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return e.stop()
			}
			e.log.Info("SIGHUP: the settings are read again")
			e.reload()
		case <-looks.C:
			e.reload()
		}
	}
}

// reload follows a settings file that has changed. Addresses stay until the
// next start; a file that is not valid changes nothing.
func (e *entry) reload() {
	s, err := platform.LoadSettings(e.path)
	if err != nil {
		e.log.Error("the settings are not valid; the old ones stay", "err", err)
		return
	}
	if reflect.DeepEqual(s, e.settings) {
		return
	}
	e.log.Info("the settings have changed", "retry-ratio", s.Bounds.RetryRatio, "retry-slack", s.Bounds.RetrySlack, "grace-s", s.Bounds.GraceS)
	if s.Listen != e.settings.Listen || s.Platform.Address != e.settings.Platform.Address {
		e.log.Warn("changed addresses are followed at the next start", "front", s.Listen.Front, "store", s.Platform.Address)
	}
	e.settings = s
	e.node.SetTerms(terms(s))
}

func (e *entry) runServer(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		e.log.Error("a listener ended", "address", ln.Addr(), "err", err)
	}
}

// stop leaves the rotation, serves what still comes, then closes.
func (e *entry) stop() error {
	e.log.Info("the stop begins", "in-flight", e.node.Busy())
	e.node.Leave()
	grace := time.Duration(e.settings.Bounds.GraceS * float64(time.Second))
	begun := time.Now()
	time.Sleep(time.Duration(drainPart * float64(grace)))
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(time.Duration(endPart*float64(grace))))
	defer cancel()
	if err := e.front.Shutdown(ctx); err != nil {
		e.log.Warn("requests were cut at the end of the grace", "in-flight", e.node.Busy(), "err", err)
	}
	for e.node.Busy() > 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	e.node.Stop()
	e.log.Info("the process has stopped")
	e.sink.Close()
	return nil
}
