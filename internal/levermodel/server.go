package levermodel

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverupstream"
)

// maxBehaviourBytes limits the request body of setBehaviour.
const maxBehaviourBytes = 1 << 20

// Server serves a modelled upstream over HTTP with the protocol of
// docs/UPSTREAM.md. The paths under /v1/stand-in/ read and change its behaviour.
type Server struct {
	Upstream *Upstream
	// OnCrash, if set, is called after a request has crashed the upstream, so
	// that the serving process can exit.
	OnCrash func()
}

// Handler returns the HTTP handler of the upstream.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+leverupstream.Path, s.query)
	mux.HandleFunc("GET /v1/health", s.health)
	mux.HandleFunc("GET /v1/stand-in/behaviour", s.getBehaviour)
	mux.HandleFunc("PUT /v1/stand-in/behaviour", s.setBehaviour)
	return mux
}

// health reports success whatever the behaviour, so that nothing can rely on a
// self-reported state.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) query(w http.ResponseWriter, r *http.Request) {
	call, err := leverupstream.ReadCall(w, r, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if call.Upstream != s.Upstream.ID() {
		w.Header().Set(leverupstream.HeaderRequest, string(call.ID))
		http.Error(w, "another upstream", http.StatusMisdirectedRequest)
		return
	}
	crashes := s.Upstream.Crashes()
	reply, end := s.Upstream.Do(r.Context(), call)
	if end != Replied {
		if s.OnCrash != nil && s.Upstream.Crashes() > crashes {
			s.OnCrash()
		}
		panic(http.ErrAbortHandler)
	}
	reply.Write(w, call, s.Upstream.ID())
}

func (s *Server) getBehaviour(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Upstream.Behaviour())
}

// setBehaviour changes the members that are present in the body and keeps the
// others.
func (s *Server) setBehaviour(w http.ResponseWriter, r *http.Request) {
	b := s.Upstream.Behaviour()
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBehaviourBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Upstream.Set(func(old *Behaviour) { *old = b })
	writeJSON(w, http.StatusOK, b)
}

// Listener limits the number of open connections and delays the first read of
// each, which simulates the cost of opening it.
type Listener struct {
	net.Listener
	// Limit is the maximum number of open connections.
	Limit int
	// Cost is the time that opening a connection takes.
	Cost time.Duration

	mu         sync.Mutex
	open, peak int
	refused    int
}

// Stats returns the peak number of open connections and the number of
// connections that were refused because of the limit.
func (l *Listener) Stats() (peak, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak, l.refused
}

// Accept returns the next connection. Connections beyond the limit are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.reserve() {
			return &conn{Conn: c, listener: l, opened: time.Now()}, nil
		}
		// The peer sees a connection that is closed immediately.
		_ = c.Close()
	}
}

func (l *Listener) reserve() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.Limit {
		l.refused++
		return false
	}
	l.open++
	l.peak = max(l.peak, l.open)
	return true
}

// conn is an accepted connection that counts towards the listener's limit.
type conn struct {
	net.Conn
	listener  *Listener
	opened    time.Time
	delayOnce sync.Once
	closeOnce sync.Once
}

// Read reads from the connection. The first call waits until the cost of
// opening the connection has passed.
func (c *conn) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(time.Until(c.opened.Add(c.listener.Cost))) })
	return c.Conn.Read(b)
}

// Close closes the connection and releases its place under the limit.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		c.listener.open--
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
