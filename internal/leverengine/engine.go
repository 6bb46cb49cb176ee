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

// Engine runs requests. Its exported fields must be set before its first use.
// It is safe for concurrent use.
type Engine struct {
	Domain    leverid.Domain
	Timer     *levertimer.Service
	Log       leverlog.Logger
	Directory *leverdirectory.Directory
	Health    *leverhealth.Table
	Budget    *leverbudget.Budget
	Pool      *leverpool.Pool
	// Sender replaces the pool, if it is set, where calls are sent.
	Sender   Sender
	Protocol Protocol
	Crashes  *levercrash.Guard
	// OnCrash, if set, is told of contents whose level has changed.
	OnCrash func([]levercrash.Entry)
	// Metrics may be nil.
	Metrics *levermetric.Set
	// Events is the time line; it may be nil.
	Events *leverevent.Line
	// MostInFlight bounds the requests that are run at a time, 0 for no bound.
	MostInFlight int
	// MostConnections bounds the connections of this VM to one upstream, 0 for
	// no bound beside that of the service.
	MostConnections int
	// Shares returns this VM's part of the upstreams' connections, of services
	// that are shards of fan-outs and of others.
	Shares func() (fanout, other float64)
	// Current reports whether the directory is up to date, as far as is known.
	Current func() bool
	// Delegate, if set, may have fan-outs run by other VMs.
	Delegate Delegate

	splits   splits
	lag      lag
	rooms    rooms
	turned   turned
	inFlight atomic.Int64
}

// Delegate has requests run by other VMs.
type Delegate interface {
	// Run returns false if the request is to be run here.
	// attempts is the number of upstreams that a part may run on.
	Run(ctx context.Context, req *Request, v leverid.ConfigVersion, attempts int) (*Outcome, bool)
}

const (
	// comeBack is the pause proposed to a caller that was refused.
	comeBack = 200 * time.Millisecond
	// connectionPart is the part of an upstream's connections that the VMs
	// share out; the rest is left to VMs that are not counted yet.
	connectionPart = 0.9
	// firstConnections is used while the configuration does not say.
	firstConnections = 1
)

// Written takes in that an outcome was written to its caller.
func (e *Engine) Written(out *Outcome) {
	if !out.At.IsZero() {
		e.lag.observe(e.Timer.Now().Sub(out.At))
	}
}

// Lag returns the time that this VM needs from the decision to answer until the
// answer is written.
func (e *Engine) Lag() time.Duration { return e.lag.keep() }

// InFlight returns the number of requests that are being run.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// Run runs a request until it has an answer or ctx, the caller's, ends.
func (e *Engine) Run(ctx context.Context, req *Request) *Outcome {
	return e.start(ctx, req, e.Delegate)
}

// RunHere runs a request of another VM.
func (e *Engine) RunHere(ctx context.Context, req *Request) *Outcome {
	return e.start(ctx, req, nil)
}

func (e *Engine) start(ctx context.Context, req *Request, d Delegate) *Outcome {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	v := e.Directory.View()
	if !v.Usable() {
		return e.unrouted(req, v, &Outcome{Verdict: NotReady, RetryAfter: comeBack, Reason: "no configuration or no list of upstreams"})
	}
	route := v.Config.Route(req.Host, req.Path)
	if route == nil {
		return e.unrouted(req, v, e.noRoute())
	}
	route = req.Variant.of(route)
	if d != nil && len(route.Shards) > 0 {
		if out, ok := d.Run(ctx, req, v.Config.Version, route.MaxAttempts); ok {
			return out
		}
	}
	f := e.newFanout(req, v, route)
	out := f.admit()
	if out == nil {
		out = f.guarded(ctx)
	}
	f.account(out)
	f.end(out)
	return out
}

// unrouted logs a request that can't be routed.
func (e *Engine) unrouted(req *Request, v *leverdirectory.View, out *Outcome) *Outcome {
	version := leverid.ConfigVersion(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	e.Metrics.Add(levermetric.Name("requests", "verdict", out.Verdict.String(), "rank", "none"), 1)
	e.Log.Info("a request can't be routed", "id", req.ID, "verdict", out.Verdict, "host", req.Host, "path", req.Path,
		"config", version, "upstreams-known", v.UpstreamsKnown, "current", e.Current(), "reason", out.Reason)
	return out
}

// noRoute says that there is no route only if the configuration is up to date.
func (e *Engine) noRoute() *Outcome {
	if !e.Current() {
		return &Outcome{Verdict: NotReady, RetryAfter: comeBack, Reason: "no route, and the configuration may be old"}
	}
	return &Outcome{Verdict: NoRoute, Reason: "no route"}
}

// connections returns this VM's part of the connections to one upstream.
func (e *Engine) connections(s leverid.ServiceID) int {
	c := e.Directory.View().Config
	if c == nil {
		return firstConnections
	}
	fanout, share := e.Shares()
	if c.IsShard(s) {
		share = fanout
	}
	n := float64(c.Services[s].MaxConnections) * connectionPart * share
	if e.MostConnections > 0 {
		n = min(n, float64(e.MostConnections))
	}
	return max(int(n), firstConnections)
}

// Changed follows the directory: connections and beliefs of upstreams that are
// gone are dropped.
func (e *Engine) Changed(v *leverdirectory.View) {
	e.Pool.Retain(v.Known)
	e.Health.Retain(v.Known)
}
