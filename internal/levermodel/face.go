package levermodel

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverupstream"
)

// maxBehaviour bounds the body of a new behaviour in bytes.
const maxBehaviour = 1 << 20

// Face serves an Upstream by the protocol of docs/UPSTREAM.md. Under
// /v1/stand-in/ it takes and shows the behaviour.
type Face struct {
	Upstream *Upstream
	// Crashed, if set, is called when the process is to end, as a real one would.
	Crashed func()
}

// Handler returns the HTTP handler.
func (f *Face) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+leverupstream.Path, f.query)
	mux.HandleFunc("GET /v1/health", f.health)
	mux.HandleFunc("GET /v1/stand-in/behaviour", f.getBehaviour)
	mux.HandleFunc("PUT /v1/stand-in/behaviour", f.setBehaviour)
	return mux
}

// health lies: it says that all is well whatever the behaviour.
func (f *Face) health(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}

func (f *Face) query(w http.ResponseWriter, r *http.Request) {
	call, err := leverupstream.ReadCall(w, r, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if call.Upstream != f.Upstream.ID() {
		w.Header().Set(leverupstream.HeaderRequest, string(call.ID))
		http.Error(w, "another upstream", http.StatusMisdirectedRequest)
		return
	}
	crashes := f.Upstream.Crashes()
	reply, end := f.Upstream.Do(r.Context(), call)
	if end != Replied {
		if f.Crashed != nil && f.Upstream.Crashes() > crashes {
			f.Crashed()
		}
		panic(http.ErrAbortHandler)
	}
	reply.Write(w, call, f.Upstream.ID())
}

func (f *Face) getBehaviour(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.Upstream.Behaviour())
}

// setBehaviour changes the members that the body names.
func (f *Face) setBehaviour(w http.ResponseWriter, r *http.Request) {
	b := f.Upstream.Behaviour()
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBehaviour))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Upstream.Set(func(old *Behaviour) { *old = b })
	writeJSON(w, http.StatusOK, b)
}

// Listener bounds the open connections and makes opening one cost time.
type Listener struct {
	net.Listener
	// Limit is the number of connections open at a time.
	Limit int
	// Cost is the time that opening one takes.
	Cost time.Duration

	mu         sync.Mutex
	open, most int
	refused    int
}

// Stats returns the most connections that were open at a time, and how many
// were refused beyond the limit.
func (l *Listener) Stats() (most, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most, l.refused
}

// Accept returns the next connection within the limit; others are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.enter() {
			return &conn{Conn: c, listener: l, opened: time.Now()}, nil
		}
		// The caller sees a connection that ends at once.
		_ = c.Close()
	}
}

func (l *Listener) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.Limit {
		l.refused++
		return false
	}
	l.open++
	l.most = max(l.most, l.open)
	return true
}

// conn is a connection that counts towards its listener's limit.
type conn struct {
	net.Conn
	listener *Listener
	opened   time.Time
	first    sync.Once
	closed   sync.Once
}

// Read waits once for the cost of opening the connection.
func (c *conn) Read(b []byte) (int, error) {
	c.first.Do(func() { time.Sleep(time.Until(c.opened.Add(c.listener.Cost))) })
	return c.Conn.Read(b)
}

// Close gives the place back.
func (c *conn) Close() error {
	c.closed.Do(func() {
		c.listener.mu.Lock()
		c.listener.open--
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
