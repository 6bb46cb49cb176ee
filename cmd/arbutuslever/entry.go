package main

import (
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/levergate"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermetric"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/levernode"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/platform"

	"github.com/juju/errors"
)

const (
	// entryBodyLimit is used until the configuration is known.
	entryBodyLimit = 1 << 20
	// reloadPeriod is how often the settings file is looked at: it may change
	// without a signal.
	reloadPeriod = 2 * time.Second
	// metricsPort is the port that deploy/system.toml names.
	metricsPort = "9464"
	// metricsTimeout bounds the head of a request for the metrics.
	metricsTimeout = 5 * time.Second
	// memoryPart is the part of the VM's memory from which on the runtime
	// collects garbage all the time; a process above the whole is killed.
	memoryPart = 0.7
	// inFlightPerMB bounds the requests at a time by the VM's memory: a fan-out
	// over 90 shards holds about 130 KB.
	inFlightPerMB = 4
	// storeSilence ends a connection to the store whose peer is silent.
	storeSilence = time.Second
)

func init() { faces.Register("entry", serveEntry) }

// serveEntry runs the process on the users' platform.
func serveEntry([]string) error {
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	return newEntry(path, s).serve()
}

// entry is the process on the users' platform.
type entry struct {
	path     string
	settings *platform.Settings
	sink     *leverlog.Sink
	log      leverlog.Logger
	metrics  *levermetric.Set
	node     *levernode.Node
	gate     *levergate.Gate
}

func newEntry(path string, s *platform.Settings) *entry {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.Limits.MemoryMB<<20)))
	}
	sink := leverlog.NewSink(os.Stdout)
	log := leverlog.New(sink, "info", s.Node)
	e := &entry{path: path, settings: s, sink: sink, log: log.For("entry"), metrics: &levermetric.Set{}}
	e.metrics.Gauge("log-lines-dropped", func() float64 { return float64(sink.Dropped()) })
	e.node = levernode.New(levernode.Options{
		Self: levermsg.VM{
			ID: leverid.VMID(s.Node), Domain: leverid.Domain(s.Zone), Peer: s.Listen.Control, Caller: s.Listen.Front,
			State: levermsg.Live, Power: s.Power(),
		},
		Store:    platform.NewStore(s.Platform.Address, storeClient(), log.For("store")),
		Protocol: platform.Protocol{}, Log: log, PeerKeys: leverpeer.NewKeys(s.Platform.Address),
		Seeds: seeds(s), Terms: terms(s), Metrics: e.metrics, MostInFlight: s.Limits.MemoryMB * inFlightPerMB,
	})
	e.gate = &levergate.Gate{Node: e.node, Log: e.log, Ready: &platform.Ready{Ready: e.node.Ready}}
	e.gate.Callers = &platform.Face{Engine: e.node.Engine(), Way: e.gate.Way, BodyLimit: e.bodyLimit, Closing: e.node.Stopping}
	return e
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
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: storeSilence, Interval: storeSilence, Count: 2},
	}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4}}
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
	e.serveMetrics()
	e.gate.Serve(listeners[0], listeners[1])
	e.node.Start(listeners[2])
	e.log.Info("the process has started", "callers", e.settings.Listen.Front, "peers", e.settings.Listen.Control,
		"domain", e.settings.Zone, "power", e.settings.Power())
	looks := time.NewTicker(reloadPeriod)
	defer looks.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				e.stop()
				return nil
			}
			e.log.Info("SIGHUP: the settings are read again")
			e.reload()
		case <-looks.C:
			e.reload()
		}
	}
}

func (e *entry) stop() {
	e.gate.Stop(time.Duration(e.settings.Bounds.GraceS * float64(time.Second)))
	e.sink.Close()
}

func (e *entry) serveMetrics() {
	ln, err := net.Listen("tcp4", net.JoinHostPort(e.settings.IP, metricsPort))
	if err != nil {
		e.log.Warn("the metrics are not served", "err", err)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.metrics)
	m := &measure{server: &http.Server{Handler: mux, ReadHeaderTimeout: metricsTimeout}, log: e.log}
	go m.run(ln)
}

// measure serves the metrics.
type measure struct {
	server *http.Server
	log    leverlog.Logger
}

func (m *measure) run(ln net.Listener) {
	m.log.Error("the metrics' listener ended", "err", m.server.Serve(ln))
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
		e.log.Warn("changed addresses are followed at the next start", "callers", s.Listen.Front, "store", s.Platform.Address)
	}
	e.settings = s
	e.node.SetTerms(terms(s))
}
