package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a leaf.
type arrival struct {
	at        time.Time
	id, path  string
	leaf      string
	conn, seq int
	// ran says that the leaf began to work on it.
	ran bool
}

// ledger is what all leaves of a run have seen. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	arrivals []arrival
	extras   int
	answers  int
}

func (l *ledger) add(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// all returns the arrivals so far.
func (l *ledger) all() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.arrivals...)
}

// leaf is one incarnation of a leaf, which serves HTTP/1.1 on raw connections.
type leaf struct {
	id, service string
	slots       int
	queue       int
	maxConns    int
	work        time.Duration
	// oneWay is the delay of the link to the leaf in each direction.
	oneWay time.Duration
	ledger *ledger
	fleet  *fleet
	// extra, if set, decides whether an answer gets a late second copy.
	extra func() bool
	// poison crashes the leaf when it begins to run a path that contains it.
	poison string
	// hang, if set, decides whether a request that has begun is never answered.
	hang    func() bool
	onCrash func(*leaf)

	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]bool
	opened  int
	running int
	waiting []chan struct{}
	crashed bool
}

// startLeaf starts a leaf and registers it.
func (f *fleet) startLeaf(l *leaf) error {
	ln, err := net.Listen("tcp4", f.prefix+".210:0")
	if err != nil {
		return err
	}
	l.fleet, l.ln, l.conns = f, ln, make(map[net.Conn]bool)
	f.leaves = append(f.leaves, l)
	go l.run()
	return l.register("ready")
}

// register writes the leaf's entry.
func (l *leaf) register(state string) error {
	l.fleet.record.say("leaf %s of %s at %s is %s", l.id, l.service, l.ln.Addr(), state)
	return l.fleet.store.Put("servers", l.id, map[string]any{
		"service": l.service, "address": l.ln.Addr().String(), "zone": "taoyuan", "version": "v1", "slots": l.slots,
		"state": state, "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

func (l *leaf) run() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		if l.crashed || len(l.conns) >= l.maxConns {
			l.mu.Unlock()
			reset(c)
			continue
		}
		l.conns[c] = true
		l.opened++
		lc := &leafConn{
			leaf: l, conn: c, n: l.opened, requests: make(chan *http.Request), gone: make(chan struct{}), ended: make(chan struct{}),
		}
		l.mu.Unlock()
		go lc.run()
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// crash ends the leaf with all its connections.
func (l *leaf) crash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashed || l.ln == nil {
		return
	}
	l.crashed = true
	_ = l.ln.Close()
	for c := range l.conns {
		reset(c)
	}
}

// admission is what became of a request at a leaf.
type admission int

const (
	admitted admission = iota
	rejected
	// dropped means that the connection closed while the request was queued.
	dropped
)

// acquire waits for a slot, unless the queue is full.
func (l *leaf) acquire(gone <-chan struct{}) admission {
	l.mu.Lock()
	if l.running < l.slots {
		l.running++
		l.mu.Unlock()
		return admitted
	}
	if len(l.waiting) >= l.queue {
		l.mu.Unlock()
		return rejected
	}
	turn := make(chan struct{})
	l.waiting = append(l.waiting, turn)
	l.mu.Unlock()
	select {
	case <-turn:
		return admitted
	case <-gone:
	}
	l.mu.Lock()
	i := slices.Index(l.waiting, turn)
	if i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	l.mu.Unlock()
	if i < 0 {
		// The slot was assigned meanwhile.
		l.release()
	}
	return dropped
}

func (l *leaf) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) > 0 {
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
		return
	}
	l.running--
}

// leafConn is one connection to a leaf. It serves one request at a time.
type leafConn struct {
	leaf *leaf
	conn net.Conn
	n    int
	// copy is a second copy of the last answer. It is sent where the next answer
	// is expected.
	copy []byte
	seq  int
	// requests are those that have been read. gone is closed when the peer has
	// closed the connection, ended when the leaf has.
	requests    chan *http.Request
	gone, ended chan struct{}
}

// runReader reads requests until the connection closes.
func (c *leafConn) runReader() {
	defer close(c.gone)
	r := bufio.NewReader(c.conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		select {
		case c.requests <- req:
		case <-c.ended:
			return
		}
	}
}

func (c *leafConn) run() {
	defer c.end()
	go c.runReader()
	for {
		var req *http.Request
		select {
		case req = <-c.requests:
		case <-c.gone:
			return
		}
		c.seq++
		time.Sleep(c.leaf.oneWay)
		if !c.serve(req) {
			return
		}
	}
}

func (c *leafConn) end() {
	close(c.ended)
	c.leaf.mu.Lock()
	delete(c.leaf.conns, c.conn)
	c.leaf.mu.Unlock()
	_ = c.conn.Close()
}

// serve answers one request. It returns false if the connection has ended.
func (c *leafConn) serve(req *http.Request) bool {
	l := c.leaf
	id := req.Header.Get("X-Request-Id")
	a := arrival{at: time.Now(), id: id, path: req.URL.Path, leaf: l.id, conn: c.n, seq: c.seq}
	if c.copy != nil {
		if _, err := c.conn.Write(c.copy); err != nil {
			return false
		}
		c.copy = nil
	}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != l.id {
		l.ledger.add(a)
		return c.answer("421 Misdirected Request", id, "X-Instance-Id: "+l.id+"\r\n", nil)
	}
	switch l.acquire(c.gone) {
	case dropped:
		l.ledger.add(a)
		return false
	case rejected:
		l.ledger.add(a)
		return c.answer("503 Service Unavailable", id, "X-Not-Executed: 1\r\n", nil)
	}
	defer l.release()
	a.ran = true
	a.at = time.Now()
	l.ledger.add(a)
	if l.poison != "" && strings.Contains(req.URL.Path, l.poison) {
		l.crash()
		if l.onCrash != nil {
			l.onCrash(l)
		}
		return false
	}
	if l.hang != nil && l.hang() {
		c.awaitEnd(req)
		return false
	}
	time.Sleep(l.work)
	return c.answer("200 OK", id, "X-Response-Stamp: "+l.service+"."+l.id+"."+id+"\r\n", []byte("done "+id))
}

// awaitEnd waits until the request's deadline has passed or the peer has closed
// the connection.
func (c *leafConn) awaitEnd(req *http.Request) {
	ms, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	if err != nil {
		ms = 1000
	}
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	select {
	case <-c.gone:
	case <-deadline.C:
	}
}

// answer sends a complete answer and decides whether a second copy follows late.
func (c *leafConn) answer(status, id, header string, body []byte) bool {
	b := []byte(fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%sKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body))
	l := c.leaf
	l.ledger.mu.Lock()
	l.ledger.answers++
	if l.extra != nil && l.extra() {
		l.ledger.extras++
		c.copy = b
	}
	l.ledger.mu.Unlock()
	time.Sleep(l.oneWay)
	_, err := c.conn.Write(b)
	return err == nil
}
