package levertest

import (
	"net/http"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
)

// Fleet serves a set of modelled upstreams on a network. Opening a connection
// takes time, and each upstream limits the number of connections. It is safe for
// concurrent use.
type Fleet struct {
	Network *Network

	mu        sync.Mutex
	upstreams map[leverid.UpstreamID]*fleetUpstream
}

// fleetUpstream serves a model across restarts of its process.
type fleetUpstream struct {
	net   *Network
	model *levermodel.Upstream
	limit int
	cost  time.Duration

	done chan struct{}

	mu       sync.Mutex
	listener *levermodel.Listener
	server   *http.Server
	// peak and refused aggregate the statistics of earlier listeners.
	peak, refused int
}

// Add adds an upstream to the fleet and serves it at the host named like its
// id.
func (f *Fleet) Add(id leverid.UpstreamID, model *levermodel.Upstream, connections int, cost time.Duration) {
	u := &fleetUpstream{net: f.Network, model: model, limit: connections, cost: cost, done: make(chan struct{})}
	model.OnDown = u.goDown
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
	u.addStats()
	u.listener = &levermodel.Listener{Listener: u.net.Listener(string(u.model.ID())), Limit: u.limit, Cost: u.cost}
	u.server = &http.Server{Handler: (&levermodel.Server{Upstream: u.model}).Handler(), ReadHeaderTimeout: time.Minute}
	go u.runServer(u.server, u.listener)
}

func (u *fleetUpstream) runServer(s *http.Server, l *levermodel.Listener) {
	// Serve returns an error when the process is killed.
	_ = s.Serve(l)
}

// addStats adds the statistics of the current listener to the totals and clears
// the listener, so that it is counted once.
func (u *fleetUpstream) addStats() {
	if u.listener == nil {
		return
	}
	peak, refused := u.listener.Stats()
	u.peak, u.refused = max(u.peak, peak), u.refused+refused
	u.listener = nil
}

// goDown kills the process and restarts it at the given time.
func (u *fleetUpstream) goDown(until time.Time) {
	go u.runDown(time.Until(until))
}

func (u *fleetUpstream) runDown(d time.Duration) {
	u.kill()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		u.listen()
	case <-u.done:
	}
}

// kill closes the listener and all connections.
func (u *fleetUpstream) kill() {
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	u.net.Kill(string(u.model.ID()))
	// The connections are closed even if this returns an error.
	_ = server.Close()
}

// Model returns the model of an upstream.
func (f *Fleet) Model(id leverid.UpstreamID) *levermodel.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[id].model
}

// ForEach calls do for each upstream.
func (f *Fleet) ForEach(do func(id leverid.UpstreamID, m *levermodel.Upstream)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, u := range f.upstreams {
		do(id, u.model)
	}
}

// ConnectionStats returns the highest ratio of open connections to the limit
// that any upstream reached, and the total number of refused connections.
func (f *Fleet) ConnectionStats() (peak float64, refused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.mu.Lock()
		u.addStats()
		peak = max(peak, float64(u.peak)/float64(max(u.limit, 1)))
		refused += u.refused
		u.mu.Unlock()
	}
	return peak, refused
}

// Close stops all upstreams.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		close(u.done)
		u.kill()
	}
}
