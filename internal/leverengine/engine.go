package leverengine

import (
	"context"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermetric"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/levertimer"
)

// Engine runs requests. Its exported fields must be set before its first use;
// Sender, Metrics, Events, Delegate and the callback for crash levels may be
// nil. It is safe for concurrent use.
type Engine struct {
	Domain    leverid.Domain
	Timer     *levertimer.Service
	Log       leverlog.Logger
	Directory *leverdirectory.Directory
	Health    *leverhealth.Tracker
	Budget    *leverbudget.Budget
	Pool      *leverpool.Pool
	// Sender, if set, sends the calls instead of Pool.
	Sender   Sender
	Protocol Protocol
	// Crashes holds the fingerprints of requests that crash upstreams.
	Crashes *levercrash.Guard
	// OnCrashLevel, if set, is called with the entries of request fingerprints whose
	// crash level has changed.
	OnCrashLevel func([]levercrash.Entry)
	// CrashReports, if set, receives evidence for and against requests as the cause of
	// crashes, which other VMs may complete.
	CrashReports CrashReports
	Metrics      *levermetric.Set
	Events       *leverevent.Timeline
	// MaxInFlight limits the number of concurrent requests; 0 means no limit.
	MaxInFlight int
	// MaxConnsPerUpstream limits this VM's connections to one upstream in
	// addition to the service's limit; 0 means no additional limit.
	MaxConnsPerUpstream int
	// DrainTime is how long an upstream that drains, or whose entry is gone, goes on
	// serving; 0 stands for a default.
	DrainTime time.Duration
	// ConnectionShares returns this VM's share of the connections to an
	// upstream, for services that are shards of fan-outs and for all others.
	ConnectionShares func() (fanout, other float64)
	// Current reports whether the directory is known to be up to date.
	Current func() bool
	// Delegate, if set, may run fan-outs on other VMs.
	Delegate Delegate
	// Brancher, if set, may run parts of fan-outs on other VMs.
	Brancher Brancher
	// Estimator, if set, estimates the times of calls instead of Health.
	Estimator Estimator
	// Hedges, if set, decides on hedges instead of Health.
	Hedges HedgePolicy
	// RefuseKeys, if set, returns why requests that need a key are refused now, or "".
	RefuseKeys func() string
	// Regions holds the regions of the failure domains.
	Regions leverdirectory.Regions
	// Cold, if set, bounds the requests to upstreams that are cold.
	Cold ColdLimit
	// Returns, if set, limits the requests to upstreams in failure domains whose
	// evacuation has just ended.
	Returns Returns
	// Allowance, if set, limits the requests of organisations.
	Allowance Allowance

	splitter splitter
	// answerLag is the time from the decision on an answer until it is written.
	answerLag leverhealth.Lag
	// reportLag is the time by which reports of branches arrive after they are due.
	reportLag     leverhealth.Lag
	limiters      limiters
	newConnResets newConnResets
	inFlight      atomic.Int64
	ending        levertimer.End
	// blocked wakes the requests with attempts that wait when an upstream takes no
	// more requests.
	blocked broadcast
	// departures wakes the requests when upstreams may have begun to drain.
	departures broadcast
}

// CrashReports receives evidence about the fingerprints of requests.
type CrashReports interface {
	// WasReset is called for a reset without a response by another upstream.
	WasReset(r levercrash.Reset)
	// Responded is called for a response to a request of which a reset was reported, or
	// to another one with its fingerprint.
	Responded(f leverid.Fingerprint)
}

// Delegate runs requests on other VMs.
type Delegate interface {
	// Run returns false if the request must run on this VM. attempts is the
	// maximum number of upstreams that each part may run on.
	Run(ctx context.Context, req *Request, v leverid.ConfigVersion, attempts int) (*Outcome, bool)
}

const (
	// defaultRetryAfter is the retry delay suggested to a caller whose request
	// was refused.
	defaultRetryAfter = 200 * time.Millisecond
	// connectionFraction is the fraction of an upstream's connections that is
	// divided among the known VMs. The rest is reserved for VMs that have joined
	// but are not counted yet.
	connectionFraction = 0.9
	// minConnections is the lower bound of the connection limit, and the limit
	// while there is no configuration.
	minConnections = 1
)

// Written records that an outcome was written to its caller.
func (e *Engine) Written(out *Outcome) {
	if !out.DecidedAt.IsZero() {
		e.answerLag.Observe(e.Timer.Now().Sub(out.DecidedAt))
	}
}

// AnswerLag returns the estimated time that this VM takes from the decision on
// an answer until the answer is written.
func (e *Engine) AnswerLag() time.Duration { return e.answerLag.Estimate() }

// InFlight returns the number of requests in progress.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// Run runs a request until it has an outcome or ctx, the caller's context, is
// done.
func (e *Engine) Run(ctx context.Context, req *Request) *Outcome {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	view, route, out := e.route(req)
	if out != nil {
		return e.recordUnrouted(req, view, out)
	}
	o, out := e.authorize(req, view.Config, route)
	if out != nil {
		return e.recordUnrouted(req, view, out)
	}
	req.Homes = homesOf(req, route, o)
	route = req.Overrides.apply(route)
	if out := e.refuseLate(req, route); out != nil {
		return out
	}
	if out := e.takeAllowance(ctx, o); out != nil {
		return e.recordOverAllowance(req, view, route, out)
	}
	out = e.run(ctx, req, view, route, e.Delegate)
	e.returnAllowance(o, out)
	return out
}

// RunLocally runs a request that another VM has delegated to this one.
func (e *Engine) RunLocally(ctx context.Context, req *Request) *Outcome {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	view, route, out := e.route(req)
	if out != nil {
		return e.recordUnrouted(req, view, out)
	}
	req.Homes = homesOf(req, route, nil)
	route = req.Overrides.apply(route)
	if out := e.refuseLate(req, route); out != nil {
		return out
	}
	return e.run(ctx, req, view, route, nil)
}

// route returns the configuration that a request pins and its route, or the outcome of a
// request that can't be routed.
func (e *Engine) route(req *Request) (*leverdirectory.View, *leverdirectory.Route, *Outcome) {
	view := e.Directory.View()
	if !view.Usable() {
		return view, nil, &Outcome{Verdict: NotReady, RetryAfter: defaultRetryAfter, Reason: "configuration or upstream list not loaded yet"}
	}
	route := view.Config.Route(req.Host, req.Path)
	if route == nil {
		return view, nil, e.unroutable()
	}
	if reason := req.Overrides.check(route); reason != "" {
		return view, nil, &Outcome{Verdict: NotRun, RetryAfter: defaultRetryAfter, Reason: reason}
	}
	return view, route, nil
}

func (e *Engine) run(ctx context.Context, req *Request, view *leverdirectory.View, route *leverdirectory.Route, d Delegate) *Outcome {
	if d != nil && len(route.Shards) > 0 && (e.Brancher == nil || !e.Brancher.Leads(route, view)) {
		if out, ok := e.delegateUntilEnd(ctx, d, req, view, route); ok {
			return out
		}
	}
	f := e.newFanout(req, view, route, nil)
	out := f.admit()
	if out == nil {
		out = f.runGuarded(ctx)
		f.observeSheds(out)
	}
	if out.Verdict == NotRun && f.mayHaveRun {
		// Another VM may have run the request before this one refused it.
		out.Verdict = MayHaveRun
	}
	f.fillAttempts(out)
	f.recordEnd(out)
	return out
}

// recordUnrouted logs and counts a request that can't be routed.
func (e *Engine) recordUnrouted(req *Request, view *leverdirectory.View, out *Outcome) *Outcome {
	version := leverid.ConfigVersion(0)
	if view.Config != nil {
		version = view.Config.Version
	}
	e.Metrics.Add(levermetric.Name("requests", "verdict", out.Verdict.String(), "rank", "none"), 1)
	e.Log.Info("a request can't be routed", "id", req.ID, "verdict", out.Verdict, "host", req.Host, "path", req.Path,
		"config", version, "upstreams-known", view.UpstreamsLoaded, "current", e.Current(), "reason", out.Reason)
	return out
}

// recordOverAllowance logs and counts a request that the allowance of its organisation
// does not permit.
func (e *Engine) recordOverAllowance(req *Request, view *leverdirectory.View, route *leverdirectory.Route, out *Outcome) *Outcome {
	e.Metrics.Add(levermetric.Name("requests", "verdict", out.Verdict.String(), "rank", route.Rank.String()), 1)
	e.Log.Info("a request exceeds an allowance", "id", req.ID, "verdict", out.Verdict, "route", route.Name, "rank", route.Rank, "organisation", req.Organisation,
		"config", view.Config.Version, "retry-after", out.RetryAfter, "reason", out.Reason)
	return out
}

// unroutable returns the outcome of a request that matches no route: NoRoute if
// the configuration is up to date, otherwise NotReady.
func (e *Engine) unroutable() *Outcome {
	if !e.Current() {
		return &Outcome{Verdict: NotReady, RetryAfter: defaultRetryAfter, Reason: "no route, and the configuration may be outdated"}
	}
	return &Outcome{Verdict: NoRoute, Reason: "no route"}
}

// connectionLimit returns the maximum number of connections from this VM to one
// upstream of a service.
func (e *Engine) connectionLimit(s leverid.ServiceID) int {
	config := e.Directory.View().Config
	if config == nil {
		return minConnections
	}
	fanout, share := e.ConnectionShares()
	if config.IsShard(s) {
		share = fanout
	}
	n := float64(config.Services[s].MaxConnections) * connectionFraction * share
	if e.MaxConnsPerUpstream > 0 {
		n = min(n, float64(e.MaxConnsPerUpstream))
	}
	return max(int(n), minConnections)
}

// DirectoryChanged drops the connections and the health statistics of upstreams
// that are no longer in the directory.
func (e *Engine) DirectoryChanged(view *leverdirectory.View) {
	e.Pool.Retain(view.Contains)
	for _, k := range e.Health.Retain(view.Contains, e.Timer.Now()) {
		e.Log.Info("an upstream that was leaving is gone", "upstream", k.ID, "address", k.Address, "born", k.Born)
	}
	if e.Cold != nil {
		e.Cold.Update(view, e.Timer.Now())
	}
	if e.Returns != nil {
		e.Returns.Update(view.EvacuatedDomains(), e.Timer.Now())
		e.blocked.send()
	}
	e.departures.send()
}
