package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverport"
	"arbutuslever.dev/lever/platform/standin"
)

// arrival is a request that has reached a leaf.
type arrival struct {
	id  string
	at  time.Time
	run int64
	// refused is when the leaf turned it away with a pause, or zero.
	refused time.Time
}

// leaf is a sound server. It answers with its stamp, echoes the id, expects its own
// instance and rejects what it has no room for.
type leaf struct {
	id, service, zone string
	slots             int
	work              time.Duration
	// records says that the leaf answers with the records of its shard.
	records bool
	store   *standin.Store

	address string
	ln      net.Listener
	http    *http.Server

	mu       sync.Mutex
	born     int64
	running  int
	arrivals []arrival
	// pauseUntil is until when the leaf turns requests away, retryAfter what it says then.
	pauseUntil time.Time
	retryAfter int
}

// listen starts a run of the leaf: at its old address if it has had one.
func (l *leaf) listen() error { return l.listenWith(l) }

// listenWith is listen with another handler of requests.
func (l *leaf) listenWith(h http.Handler) error {
	address := l.address
	if address == "" {
		// A port from the ephemeral range could be taken while the leaf is away.
		port, err := leverport.FindFree(0)
		if err != nil {
			return err
		}
		address = fmt.Sprintf("127.0.0.1:%d", port)
	}
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.born = time.Now().UnixMilli()
	l.address, l.ln = ln.Addr().String(), ln
	l.http = &http.Server{Handler: h, IdleTimeout: 5 * time.Second}
	s := l.http
	l.mu.Unlock()
	go (&server{s}).run(ln)
	return nil
}

type server struct{ *http.Server }

// run serves until the server is closed.
func (s *server) run(ln net.Listener) { _ = s.Serve(ln) }

// register writes the leaf's entry.
func (l *leaf) register(state string) error {
	l.mu.Lock()
	born := l.born
	l.mu.Unlock()
	return l.store.Put("servers", l.id, map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": l.slots,
		"state": state, "coldRemainingMs": 0, "sequence": 1, "born": born,
	})
}

// crash ends the run: its listener and connections close.
func (l *leaf) crash() {
	l.mu.Lock()
	s := l.http
	l.mu.Unlock()
	// The listener and connections are closed even if this returns an error.
	_ = s.Close()
}

// pause makes the leaf turn requests away for d, and say that it wants none for some seconds.
func (l *leaf) pause(d time.Duration, retryAfter int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauseUntil, l.retryAfter = time.Now().Add(d), retryAfter
}

func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", l.id)
	w.Header().Set("Keep-Alive", "timeout=5")
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.mu.Lock()
	now := time.Now()
	a := arrival{id: id, at: now, run: l.born}
	refuse := now.Before(l.pauseUntil)
	full := l.running >= l.slots*4
	if refuse {
		a.refused = now
	}
	l.arrivals = append(l.arrivals, a)
	if !refuse && !full {
		l.running++
	}
	l.mu.Unlock()
	if refuse || full {
		if refuse {
			w.Header().Set("Retry-After", strconv.Itoa(l.retryAfter))
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.sleep(r.Context())
	l.mu.Lock()
	l.running--
	l.mu.Unlock()
	w.Header().Set("X-Response-Stamp", standin.Stamp(l.service, l.id, id))
	body := standin.Body(id, 0)
	if l.records {
		body = standin.Records(l.service)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func (l *leaf) sleep(ctx context.Context) {
	select {
	case <-time.After(l.work):
	case <-ctx.Done():
	}
}

func (l *leaf) seen() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.arrivals...)
}
