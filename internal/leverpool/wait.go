package leverpool

import (
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrank"

	"github.com/juju/errors"
)

// Placement chooses the upstream of a call that may go to several. Its methods are
// called with the pool locked, from any goroutine, and must not call the pool.
type Placement interface {
	// Choose returns one of the upstreams that have room, or nil if the call has to
	// wait. If no upstream of the service has room, it calls hasRoom for each.
	Choose(hasRoom func(*leverdirectory.Upstream) bool) *leverdirectory.Upstream
	// MaxConnections returns this VM's current share of the connections of an
	// upstream of the service.
	MaxConnections() int
	// Place records the upstream to which the call is sent next, or nil while the
	// call waits.
	Place(u *leverdirectory.Upstream)
}

// offerInterval is the interval at which room is offered to waiting calls. It
// covers room that appears without the end of a call: limits grow, and upstreams
// come and recover.
const offerInterval = 50 * time.Millisecond

// grant lets a call be sent on a connection that is idle, or on a new one if conn
// is nil.
type grant struct {
	exchange *Exchange
	conn     *conn
}

func (g grant) use() {
	if g.conn == nil {
		go g.exchange.runDial()
		return
	}
	g.exchange.send(g.conn)
}

func useAll(grants []grant) {
	for _, g := range grants {
		g.use()
	}
}

// acquire grants x a connection to its upstream or, if that has no room, to another
// one. If none has room, x waits.
func (p *Pool) acquire(x *Exchange) (grant, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.hasRoom(x.target.Upstream, x.target.MaxConnections, now) {
		return p.grant(x, x.target.Upstream, now), true
	}
	if x.target.Placement != nil {
		u := x.choose(func(u *leverdirectory.Upstream) bool { return p.hasRoom(u, x.target.MaxConnections, now) })
		if u != nil {
			return p.grant(x, u, now), true
		}
		x.target.Placement.Place(nil)
	}
	p.enqueue(x)
	return grant{}, false
}

// hasRoom reports whether a call can be sent to an upstream at once.
func (p *Pool) hasRoom(u *leverdirectory.Upstream, maxConnections int, now time.Time) bool {
	h := p.hosts[u.Key()]
	return h == nil || len(h.idle) > 0 || h.open < h.limit(maxConnections, now)
}

// grant grants x a connection to an upstream that has room.
func (p *Pool) grant(x *Exchange, u *leverdirectory.Upstream, now time.Time) grant {
	h := p.host(u)
	x.target.Upstream, x.host = u, h
	if x.target.Placement != nil {
		x.target.Placement.Place(u)
	}
	if c := p.takeIdle(h, &x.target, now); c != nil {
		return grant{x, c}
	}
	if len(h.idle) > 0 && h.open >= h.limit(x.target.MaxConnections, now) {
		// The idle connections are too old for a request that must not run twice, or
		// may repeat an answer to it. The oldest one makes room for a new one.
		oldest := h.idle[0]
		h.idle = h.idle[1:]
		retire(oldest)
	}
	h.open++
	return grant{exchange: x}
}

func (p *Pool) enqueue(x *Exchange) {
	if p.waiting == nil {
		p.waiting = make(map[leverid.ServiceID][]*Exchange)
		p.orders = make(map[leverid.ServiceID]*leverrank.Order)
	}
	s := x.target.Upstream.Service
	if p.orders[s] == nil {
		p.orders[s] = &leverrank.Order{}
	}
	x.position = p.orders[s].Add(x.target.Flow)
	list := p.waiting[s]
	i := len(list)
	for i > 0 && list[i-1].position > x.position {
		i--
	}
	p.waiting[s] = slices.Insert(list, i, x)
	if !p.offering && !p.closed {
		p.offering = true
		go p.runOffers()
	}
}

// removeWaiter removes x from the waiting calls. It returns false if x is not
// waiting any more.
func (p *Pool) removeWaiter(x *Exchange) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := x.target.Upstream.Service
	for i, w := range p.waiting[s] {
		if w == x {
			p.setWaiting(s, without(p.waiting[s], i))
			return true
		}
	}
	return false
}

// without returns the list without the call at index i, usually the first one.
func without(list []*Exchange, i int) []*Exchange {
	if i == 0 {
		return list[1:]
	}
	return append(list[:i:i], list[i+1:]...)
}

func (p *Pool) setWaiting(s leverid.ServiceID, list []*Exchange) {
	if len(list) == 0 {
		delete(p.waiting, s)
		delete(p.orders, s)
		return
	}
	p.waiting[s] = list
}

// offer lets the first waiting call that may use it have the room of one connection
// that a call has left at a host.
func (p *Pool) offer(h *host) { useAll(p.offerHost(h)) }

func (p *Pool) offerHost(h *host) []grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	now := time.Now()
	list := p.waiting[h.service]
	for i, x := range list {
		u := x.choose(func(u *leverdirectory.Upstream) bool {
			return p.hosts[u.Key()] == h && p.hasRoom(u, x.target.MaxConnections, now)
		})
		if u != nil {
			p.orders[h.service].Sent(x.position)
			p.setWaiting(h.service, without(list, i))
			return []grant{p.grant(x, u, now)}
		}
	}
	return nil
}

// offerAll grants all room to the calls that wait, in their order.
func (p *Pool) offerAll() []grant {
	if p.closed {
		return nil
	}
	now := time.Now()
	var out []grant
	for s, list := range p.waiting {
		var left []*Exchange
		for i, x := range list {
			room := false
			u := x.choose(func(u *leverdirectory.Upstream) bool {
				has := p.hasRoom(u, x.target.MaxConnections, now)
				room = room || has
				return has
			})
			if u != nil {
				p.orders[s].Sent(x.position)
				out = append(out, p.grant(x, u, now))
				continue
			}
			left = append(left, x)
			if !room && x.target.Placement != nil {
				// There is none for the others either.
				left = append(left, list[i+1:]...)
				break
			}
		}
		p.setWaiting(s, left)
	}
	return out
}

// runOffers offers room at intervals as long as calls wait.
func (p *Pool) runOffers() {
	for p.offerOnce() {
		time.Sleep(offerInterval)
	}
}

// offerOnce offers all room and reports whether calls still wait.
func (p *Pool) offerOnce() bool {
	p.mu.Lock()
	grants := p.offerAll()
	p.offering = len(p.waiting) > 0 && !p.closed
	offering := p.offering
	p.mu.Unlock()
	useAll(grants)
	return offering
}

// choose returns the upstream to which a waiting call can be sent, or nil.
func (x *Exchange) choose(hasRoom func(*leverdirectory.Upstream) bool) *leverdirectory.Upstream {
	if x.target.Placement != nil {
		x.target.MaxConnections = x.target.Placement.MaxConnections()
		return x.target.Placement.Choose(hasRoom)
	}
	if hasRoom(x.target.Upstream) {
		return x.target.Upstream
	}
	return nil
}

// errWithdrawn returns the result of a call that is canceled while it waits.
func errWithdrawn() error { return errors.Annotate(ErrWithdrawn, "all connections are in use") }
