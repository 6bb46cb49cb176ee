package levertest

import (
	"net/http"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
)

// Fleet is a set of modelled upstreams that VMs call over the network, with
// connections that cost time and a limit on them. It is safe for concurrent use.
type Fleet struct {
	Net *Net

	mu        sync.Mutex
	upstreams map[leverid.UpstreamID]*fleetUpstream
}

// fleetUpstream serves one model, over restarts of its process.
type fleetUpstream struct {
	net   *Net
	model *levermodel.Upstream
	limit int
	cost  time.Duration

	done chan struct{}

	mu       sync.Mutex
	listener *levermodel.Listener
	server   *http.Server
	// most and refused sum up the listeners before.
	most, refused int
}

// Add puts an upstream into the fleet and serves it at its id.
func (f *Fleet) Add(id leverid.UpstreamID, model *levermodel.Upstream, connections int, cost time.Duration) {
	u := &fleetUpstream{net: f.Net, model: model, limit: connections, cost: cost, done: make(chan struct{})}
	model.OnAway = u.away
	u.listen()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.upstreams == nil {
		f.upstreams = make(map[leverid.UpstreamID]*fleetUpstream)
	}
	f.upstreams[id] = u
}

func (u *fleetUpstream) listen() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sum()
	u.listener = &levermodel.Listener{Listener: u.net.Listener(string(u.model.ID())), Limit: u.limit, Cost: u.cost}
	u.server = &http.Server{Handler: (&levermodel.Face{Upstream: u.model}).Handler(), ReadHeaderTimeout: time.Minute}
	go u.runServer(u.server, u.listener)
}

func (u *fleetUpstream) runServer(s *http.Server, l *levermodel.Listener) {
	// It ends when the process does.
	_ = s.Serve(l)
}

// sum adds up the present listener's counts.
func (u *fleetUpstream) sum() {
	if u.listener == nil {
		return
	}
	most, refused := u.listener.Stats()
	u.most, u.refused = max(u.most, most), u.refused+refused
	u.listener = nil
}

// away ends the process until a time.
func (u *fleetUpstream) away(until time.Time) {
	go u.runAway(time.Until(until))
}

func (u *fleetUpstream) runAway(d time.Duration) {
	u.end()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		u.listen()
	case <-u.done:
	}
}

// end cuts all connections.
func (u *fleetUpstream) end() {
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	u.net.Kill(string(u.model.ID()))
	// The connections are gone whether or not this fails.
	_ = server.Close()
}

// Model returns the model of an upstream.
func (f *Fleet) Model(id leverid.UpstreamID) *levermodel.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[id].model
}

// All calls do with each upstream.
func (f *Fleet) All(do func(id leverid.UpstreamID, m *levermodel.Upstream)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, u := range f.upstreams {
		do(id, u.model)
	}
}

// Connections returns the most connections that any upstream had open at a
// time, as a part of its limit, and how many were refused.
func (f *Fleet) Connections() (most float64, refused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.mu.Lock()
		u.sum()
		most = max(most, float64(u.most)/float64(max(u.limit, 1)))
		refused += u.refused
		u.mu.Unlock()
	}
	return most, refused
}

// Close ends all upstreams.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		close(u.done)
		u.end()
	}
}
