package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/levertimer"
	"arbutuslever.dev/lever/platform"

	"github.com/juju/errors"
)

const (
	// entryHeadTimeout and entryIdleTimeout are longer than any that the
	// callers are told of: a connection is not closed under them.
	entryHeadTimeout = 30 * time.Second
	entryIdleTimeout = 120 * time.Second
	// entryMaxHead is used until the configuration is known.
	entryMaxHead = 64 << 10
	// entryBodyLimit is used until the configuration is known.
	entryBodyLimit = 1 << 20
	// unknownVMs stands for the number of VMs until it is known.
	unknownVMs = 10
	// feedPace is the pause between two watches.
	feedPace = 300 * time.Millisecond
	// configWait bounds a watch of the configuration. When the store drops its
	// history, a watch may hear nothing until it ends; this one finds out, well
	// within the 3 s in which a change is due, and has the others listed anew.
	configWait = 1500 * time.Millisecond
	// lapseHold is how long the entries of upstreams that are missing after an
	// outage are kept; they are back within about two seconds.
	lapseHold = 2500 * time.Millisecond
	// drainPart is the part of the grace after which the listener is closed.
	drainPart = 0.7
	// endPart is the part of the grace at which the process ends.
	endPart = 0.95
	// storeSilence ends a connection to the store whose peer is silent.
	storeSilence = time.Second
)

// entry is the process on the users' platform.
type entry struct {
	settings *platform.Settings
	log      leverlog.Logger
	timer    *levertimer.Service
	engine   *leverengine.Engine
	store    *platform.Store
	configs  *leverfeed.Follower[*leverdirectory.Config]
	servers  *leverfeed.Follower[leverdirectory.Upstream]
	vms      *leverfeed.Follower[platform.VM]
	vmCount  atomic.Int64
	stopping atomic.Bool
	front    *http.Server
	ready    *http.Server
}

func newEntry(s *platform.Settings) *entry {
	log := leverlog.New(os.Stdout, "info", s.Node)
	e := &entry{settings: s, log: log, timer: &levertimer.Service{}}
	e.vmCount.Store(unknownVMs)
	directory := &leverdirectory.Directory{}
	budget := &leverbudget.Budget{Terms: leverbudget.Terms{
		Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack,
		Window: time.Duration(s.Bounds.RetryWindowS * float64(time.Second)),
	}}
	e.engine = &leverengine.Engine{
		Domain: leverid.Domain(s.Zone), Timer: e.timer, Log: log.For("engine"), Directory: directory,
		Health: &leverhealth.Table{}, Budget: budget, Pool: &leverpool.Pool{}, Protocol: platform.Protocol{},
		VMs: func() int { return int(e.vmCount.Load()) }, Current: e.current,
	}
	directory.OnChange = e.engine.Changed
	feedLog := log.For("feed")
	e.store = &platform.Store{
		Base: "http://" + s.Platform.Address, HTTP: storeClient(),
		Foreign: func(kind, name string, err error) {
			feedLog.Warn("an object can't be read; it is left out", "kind", kind, "name", name, "err", err)
		},
	}
	e.configs = &leverfeed.Follower[*leverdirectory.Config]{
		Name: "configuration", Source: e.store.Configs(), Timer: e.timer, Log: feedLog, Pace: feedPace, Wait: configWait,
		OnLost: func() {
			e.servers.Relist()
			e.vms.Relist()
		},
		Apply: func(items map[string]*leverdirectory.Config) {
			for _, c := range items {
				if directory.SetConfig(c) {
					feedLog.Info("a configuration is in force", "version", c.Version, "routes", len(c.Routes))
				}
			}
		},
	}
	e.servers = &leverfeed.Follower[leverdirectory.Upstream]{
		Name: "upstreams", Source: e.store.Upstreams(), Timer: e.timer, Log: feedLog, Pace: feedPace, Hold: lapseHold,
		Apply: func(items map[string]leverdirectory.Upstream) {
			list := make([]leverdirectory.Upstream, 0, len(items))
			for _, u := range items {
				list = append(list, u)
			}
			directory.SetUpstreams(list)
		},
	}
	e.vms = &leverfeed.Follower[platform.VM]{
		Name: "vms", Source: e.store.VMs(), Timer: e.timer, Log: feedLog, Pace: feedPace,
		Apply: func(items map[string]platform.VM) {
			n := max(len(items), 1)
			e.vmCount.Store(int64(n))
			budget.SetVMs(n)
		},
	}
	face := &platform.Face{Engine: entryEngine{e.engine}, BodyLimit: e.bodyLimit, Closing: e.stopping.Load}
	e.front = &http.Server{
		Handler: face, ReadHeaderTimeout: entryHeadTimeout, IdleTimeout: entryIdleTimeout, MaxHeaderBytes: entryMaxHead,
	}
	e.ready = &http.Server{Handler: &platform.Ready{Ready: e.isReady}, ReadHeaderTimeout: entryHeadTimeout}
	return e
}

// entryEngine runs requests until their callers leave.
type entryEngine struct{ engine *leverengine.Engine }

// Run runs a request.
func (e entryEngine) Run(r *http.Request, req *leverengine.Request) *leverengine.Outcome {
	return e.engine.Run(r.Context(), req)
}

func storeClient() *http.Client {
	d := &net.Dialer{
		Timeout:         storeSilence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: storeSilence, Interval: storeSilence / 2, Count: 2},
	}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4}}
}

func (e *entry) current() bool { return e.configs.Current() }

func (e *entry) bodyLimit() int64 {
	if c := e.engine.Directory.View().Config; c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return entryBodyLimit
}

func (e *entry) isReady() bool {
	return !e.stopping.Load() && e.engine.Directory.View().Usable()
}

// serve runs until SIGTERM or SIGINT.
func (e *entry) serve() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	front, err := net.Listen("tcp4", e.settings.Listen.Front)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", e.settings.Listen.Front)
	}
	ready, err := net.Listen("tcp4", e.settings.Listen.Ready)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", e.settings.Listen.Ready)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.runServer(e.front, front)
	go e.runServer(e.ready, ready)
	go e.configs.Run(ctx)
	go e.servers.Run(ctx)
	go e.runVMs(ctx)
	e.log.For("entry").Info("the process has started", "front", e.settings.Listen.Front)
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		e.log.For("entry").Info("the settings were read again")
	}
	return e.stop()
}

func (e *entry) runServer(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		e.log.For("entry").Error("a listener ended", "address", ln.Addr(), "err", err)
	}
}

// runVMs writes this VM's own entry and follows those of the others.
func (e *entry) runVMs(ctx context.Context) {
	vm := platform.VM{Node: e.settings.Node, Peer: e.settings.IP}
	for {
		err := e.store.Register(ctx, vm)
		if err == nil {
			break
		}
		e.log.For("entry").Warn("this VM's entry could not be written", "err", err)
		if !e.timer.Sleep(ctx, e.timer.Jitter(time.Second, 0.3)) {
			return
		}
	}
	e.vms.Run(ctx)
}

// stop leaves the rotation, serves what still comes, then closes.
func (e *entry) stop() error {
	l := e.log.For("entry")
	l.Info("the stop begins", "in-flight", e.engine.InFlight())
	e.stopping.Store(true)
	grace := time.Duration(e.settings.Bounds.GraceS * float64(time.Second))
	begun := e.timer.Now()
	time.Sleep(time.Duration(drainPart * float64(grace)))
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(time.Duration(endPart*float64(grace))))
	defer cancel()
	if err := e.front.Shutdown(ctx); err != nil {
		l.Warn("requests were cut at the end of the grace", "in-flight", e.engine.InFlight(), "err", err)
	}
	l.Info("the process has stopped")
	return nil
}
