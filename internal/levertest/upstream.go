package levertest

import (
	"net/http"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
)

// UpstreamSet serves a set of modelled upstreams on a network. Opening a
// connection takes time, and each upstream limits the number of connections. It
// is safe for concurrent use.
type UpstreamSet struct {
	Network *Network

	mu        sync.Mutex
	upstreams map[leverid.UpstreamID]*servedUpstream
}

// servedUpstream serves a model across restarts of its process.
type servedUpstream struct {
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

// Add adds an upstream and serves it at the host named like its id.
func (us *UpstreamSet) Add(id leverid.UpstreamID, model *levermodel.Upstream, connections int, cost time.Duration) {
	u := &servedUpstream{net: us.Network, model: model, limit: connections, cost: cost, done: make(chan struct{})}
	model.OnDown = u.goDown
	u.listen()
	us.mu.Lock()
	defer us.mu.Unlock()
	if us.upstreams == nil {
		us.upstreams = make(map[leverid.UpstreamID]*servedUpstream)
	}
	us.upstreams[id] = u
}

func (u *servedUpstream) listen() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.addStats()
	u.listener = &levermodel.Listener{Listener: u.net.Listener(string(u.model.ID())), Limit: u.limit, Cost: u.cost}
	u.server = &http.Server{Handler: (&levermodel.Server{Upstream: u.model}).Handler(), ReadHeaderTimeout: time.Minute}
	go u.runServer(u.server, u.listener)
}

func (u *servedUpstream) runServer(s *http.Server, l *levermodel.Listener) {
	// Serve returns an error when the process is killed.
	_ = s.Serve(l)
}

// addStats adds the statistics of the current listener to the totals and clears
// the listener, so that it is counted once.
func (u *servedUpstream) addStats() {
	if u.listener == nil {
		return
	}
	peak, refused := u.listener.Stats()
	u.peak, u.refused = max(u.peak, peak), u.refused+refused
	u.listener = nil
}

// goDown kills the process and restarts it at the given time.
func (u *servedUpstream) goDown(until time.Time) {
	go u.runDown(time.Until(until))
}

func (u *servedUpstream) runDown(d time.Duration) {
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
func (u *servedUpstream) kill() {
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	u.net.Kill(string(u.model.ID()))
	// The connections are closed even if this returns an error.
	_ = server.Close()
}

// Model returns the model of an upstream.
func (us *UpstreamSet) Model(id leverid.UpstreamID) *levermodel.Upstream {
	us.mu.Lock()
	defer us.mu.Unlock()
	return us.upstreams[id].model
}

// ForEach calls do for each upstream.
func (us *UpstreamSet) ForEach(do func(id leverid.UpstreamID, m *levermodel.Upstream)) {
	us.mu.Lock()
	defer us.mu.Unlock()
	for id, u := range us.upstreams {
		do(id, u.model)
	}
}

// ConnectionStats returns the highest ratio of open connections to the limit
// that any upstream reached, and the total number of refused connections.
func (us *UpstreamSet) ConnectionStats() (peak float64, refused int) {
	us.mu.Lock()
	defer us.mu.Unlock()
	for _, u := range us.upstreams {
		u.mu.Lock()
		u.addStats()
		peak = max(peak, float64(u.peak)/float64(max(u.limit, 1)))
		refused += u.refused
		u.mu.Unlock()
	}
	return peak, refused
}

// Close stops all upstreams.
func (us *UpstreamSet) Close() {
	us.mu.Lock()
	defer us.mu.Unlock()
	for _, u := range us.upstreams {
		close(u.done)
		u.kill()
	}
}
