package main

import (
	"net"
	"net/http"
	"os"
	"reflect"
	"runtime/debug"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverallow"
	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/leverfeed"
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
	// defaultBodyLimit is the maximum size of a request body in bytes while the
	// configuration is not known.
	defaultBodyLimit = 1 << 20
	// reloadInterval is the interval at which the settings file is read, because
	// it may change without a SIGHUP.
	reloadInterval = 2 * time.Second
	// settingsWait is how long a process that starts waits for a valid settings file.
	settingsWait = 3 * time.Second
	// settingsPollInterval is how often it reads the file meanwhile.
	settingsPollInterval = 50 * time.Millisecond
	// metricsPort is the port for metrics given in deploy/system.toml.
	metricsPort = "9464"
	// metricsHeaderTimeout bounds reading the headers of a request for metrics.
	metricsHeaderTimeout = 5 * time.Second
	// memoryLimitFraction of the VM's memory is the Go runtime's soft memory
	// limit, above which it collects garbage continuously. A process that
	// exceeds the VM's memory is killed. The setting memoryMb is read as MiB.
	memoryLimitFraction = 0.7
	// inFlightPerMB is the maximum number of requests in flight per MiB of the
	// VM's memory. A fan-out over 90 shards holds about 130 KB.
	inFlightPerMB = 4
	// bodyFraction of the VM's memory may be taken by large responses of upstreams
	// that are being received.
	bodyFraction = 0.1
	// storeConnTimeout bounds connecting to the store. It is also the idle
	// time and the interval of the keep-alive probes that close a connection
	// on which the store no longer responds.
	storeConnTimeout = time.Second
)

func init() { commands.Register("entry", runEntry) }

const entryHelp = `Serves the platform's protocols on this VM.

The environment variable ` + platform.SettingsVariable + ` holds the path of the settings file
(JSON). SIGHUP reloads it, SIGTERM and SIGINT stop the process.`

// runEntry serves the protocols of package platform until a signal ends it.
func runEntry(args []string, sig *signals) error {
	if err := parseFlags("arbutuslever entry", entryHelp, &struct{}{}, args); err != nil {
		return err
	}
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return errors.NotFoundf("path of the settings file: environment variable %s", platform.SettingsVariable)
	}
	var s *platform.Settings
	if err := sig.start(func() (err error) {
		s, err = awaitSettings(path, time.Now().Add(settingsWait))
		return err
	}); err != nil {
		return err
	}
	return newEntry(path, s).serve(sig)
}

// awaitSettings reads the settings file again until it is valid or the time until
// has come, because it may just be being written. The error is the last one.
func awaitSettings(path string, until time.Time) (*platform.Settings, error) {
	for {
		s, err := platform.LoadSettings(path)
		if err == nil || !time.Now().Before(until) {
			return s, errors.Annotatef(err, "settings still invalid after %s", settingsWait)
		}
		time.Sleep(settingsPollInterval)
	}
}

// entry serves the protocols of package platform (levernode).
type entry struct {
	path string
	// settings are the settings in force, which a reload replaces.
	settings atomic.Pointer[platform.Settings]
	sink     *leverlog.Sink
	log      leverlog.Logger
	metrics  *levermetric.Set
	node     *levernode.Node
	gate     *levergate.Gate
}

func newEntry(path string, s *platform.Settings) *entry {
	memory := s.MemoryBytes()
	if memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memory)))
	}
	sink := leverlog.NewSink(os.Stdout)
	log := leverlog.New(sink, "info", s.Node)
	e := &entry{path: path, sink: sink, log: log.For("entry"), metrics: &levermetric.Set{}}
	e.settings.Store(s)
	e.metrics.Gauge("log-lines-dropped", func() float64 { return float64(sink.Dropped()) })
	// The settings hold no secret. The store's address as the peers' shared key
	// only keeps VMs of different platforms apart.
	store := platform.NewStore(s.Platform.Address, storeClient(), log.For("store"))
	var evacuations leverfeed.Source[leverid.Domain]
	if s.Bounds.EvacuateMS > 0 {
		evacuations = store.Evacuations()
	}
	e.node = levernode.New(levernode.Options{
		Self: levermsg.VM{
			ID: leverid.VMID(s.Node), Domain: leverid.Domain(s.Zone), Peer: s.Listen.Control, Caller: s.Listen.Front,
			State: levermsg.Live, Power: s.Power(),
		},
		Store: store, CrashRecords: store.CrashRecords(), Evacuations: evacuations, Cold: s.ColdTerms(), Regions: s.Regions(),
		Protocol: platform.Protocol{}, Log: log, PeerKeys: leverpeer.NewKeys(s.Platform.Address),
		Seeds: seeds(s), Terms: budgetTerms(s), AllowanceTerms: allowanceTerms(s), Metrics: e.metrics, MaxInFlight: int(memory >> 20 * inFlightPerMB),
		MaxBodyBytes: int64(bodyFraction * float64(memory)), DrainTime: s.DrainTime(),
		RevokeWithin: s.RevokeWithin(),
	})
	e.gate = &levergate.Gate{Node: e.node, Log: e.log, Ready: &platform.Ready{Ready: e.node.Ready}}
	e.gate.Callers = &platform.CallerHandler{Engine: e.node.Engine(), CallerRTT: e.gate.CallerRTT, BodyLimit: e.bodyLimit, Closing: e.node.Stopping}
	return e
}

func budgetTerms(s *platform.Settings) leverbudget.Terms {
	return leverbudget.Terms{
		Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack,
		Window: time.Duration(s.Bounds.RetryWindowS * float64(time.Second)),
	}
}

func allowanceTerms(s *platform.Settings) leverallow.Terms {
	return leverallow.Terms{
		Window: time.Duration(s.Bounds.QuotaWindowS * float64(time.Second)),
		Excess: s.Bounds.QuotaExcess, Slack: s.Bounds.QuotaSlack,
	}
}

func seeds(s *platform.Settings) []levermsg.VM {
	out := make([]levermsg.VM, len(s.Seeds))
	for i, address := range s.Seeds {
		// The VM's id is not known yet; its address is used instead.
		out[i] = levermsg.VM{ID: leverid.VMID(address), Peer: address, State: levermsg.Live}
	}
	return out
}

// storeClient returns the HTTP client for the platform's store.
func storeClient() *http.Client {
	d := &net.Dialer{
		Timeout:         storeConnTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: storeConnTimeout, Interval: storeConnTimeout, Count: 2},
	}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4}}
}

func (e *entry) bodyLimit() int64 {
	if c := e.node.Engine().Directory.View().Config; c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return defaultBodyLimit
}

// serve runs until SIGTERM or SIGINT, then stops the process. It reloads the
// settings on SIGHUP and periodically.
func (e *entry) serve(sig *signals) error {
	settings := e.settings.Load()
	var listeners [3]net.Listener
	for i, address := range []string{settings.Listen.Front, settings.Listen.Ready, settings.Listen.Control} {
		var err error
		if listeners[i], err = net.Listen("tcp4", address); err != nil {
			return errors.Annotatef(err, "listen on %s", address)
		}
	}
	e.serveMetrics()
	e.gate.Serve(listeners[0], listeners[1])
	e.node.Start(listeners[2])
	e.log.Info("process started", "callers", settings.Listen.Front, "peers", settings.Listen.Control,
		"domain", settings.Zone, "power", settings.Power())
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	e.stop(sig.await(&reloader{Signalled: e.reloadSignalled, Ticked: e.reload, Ticks: ticker.C}))
	return nil
}

// stop ends the process. The signal has been pending for up to the given time.
func (e *entry) stop(pending time.Duration) {
	e.gate.StopPending(time.Duration(e.settings.Load().Bounds.GraceS*float64(time.Second)), pending)
	e.sink.Close()
}

func (e *entry) serveMetrics() {
	ln, err := net.Listen("tcp4", net.JoinHostPort(e.settings.Load().IP, metricsPort))
	if err != nil {
		e.log.Warn("could not listen for metrics requests; metrics are not served", "err", err)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.metrics)
	m := &metricsServer{server: &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}, log: e.log}
	go m.run(ln)
}

// metricsServer serves the metrics over HTTP.
type metricsServer struct {
	server *http.Server
	log    leverlog.Logger
}

func (m *metricsServer) run(ln net.Listener) {
	m.log.Error("metrics server failed", "err", m.server.Serve(ln))
}

func (e *entry) reloadSignalled() {
	e.log.Info("SIGHUP received; reloading the settings")
	e.reload()
}

// reload applies a changed settings file. Only the retry bounds and the grace
// period take effect at once, all other changes at the next start. An invalid
// file changes nothing.
func (e *entry) reload() {
	s, err := platform.LoadSettings(e.path)
	if err != nil {
		e.log.Error("settings are invalid; keeping the current settings", "err", err)
		return
	}
	old := e.settings.Load()
	if reflect.DeepEqual(s, old) {
		return
	}
	e.log.Info("settings changed", "retry-ratio", s.Bounds.RetryRatio, "retry-slack", s.Bounds.RetrySlack, "grace-s", s.Bounds.GraceS)
	if s.Listen != old.Listen || s.Platform.Address != old.Platform.Address {
		e.log.Warn("changed addresses take effect at the next start", "callers", s.Listen.Front, "store", s.Platform.Address)
	}
	e.settings.Store(s)
	e.node.SetTerms(budgetTerms(s))
}
