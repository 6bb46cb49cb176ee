package leverallow

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// undecidedRetry is when a request that can't be decided may come again. A vote is lent
// to another manager after a lease.
const undecidedRetry = 300 * time.Millisecond

// Outgoing is a message to send to a manager, which may be this VM.
type Outgoing struct {
	To      leverid.VMID
	Message *Message
}

// Client lends the votes of one VM and takes tokens for its requests. It is safe for
// concurrent use.
type Client struct {
	terms Terms
	self  leverid.VMID
	boot  uint32

	mu       sync.Mutex
	seq      uint32
	standing standing
	fleet    Fleet
	loans    []loan
	// quietUntil is until when no vote is lent after a change of the number of groups.
	quietUntil time.Time
	peers      map[leverid.VMID]*peer
	wallets    map[leverid.OrganisationID]*wallet
	// pending holds the wallets with requests that wait or tokens to give back.
	pending map[leverid.OrganisationID]*wallet
	// candidates are the possible managers, and order is their order for each group.
	candidates []leverid.VMID
	order      [][]leverid.VMID
	// hints are managers that another VM has named for each group.
	hints []leverid.VMID
}

// NewClient returns a client of a process that starts now. boot must differ from that
// of the VM's other processes.
func NewClient(t Terms, self leverid.VMID, boot uint32, now time.Time) *Client {
	return &Client{
		terms: t, self: self, boot: boot, standing: standing{start: now},
		peers: make(map[leverid.VMID]*peer), wallets: make(map[leverid.OrganisationID]*wallet), pending: make(map[leverid.OrganisationID]*wallet),
	}
}

// SetFleet sets what the VM knows of the others. It must be called at least every
// second.
func (c *Client) SetFleet(f Fleet, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet = f
	c.standing.update(&f, now)
	if n := groupCount(len(f.List)); n != len(c.loans) {
		for i := range c.loans {
			if end := c.loans[i].until.Add(leaseMargin); end.After(c.quietUntil) {
				c.quietUntil = end
			}
		}
		c.loans, c.hints = make([]loan, n), make([]leverid.VMID, n)
		c.order = nil
	}
	c.rankCandidates()
}

// rankCandidates orders the candidates for each group if they have changed.
func (c *Client) rankCandidates() {
	candidates := c.fleet.candidates()
	if len(c.order) == len(c.loans) && slices.Equal(candidates, c.candidates) {
		return
	}
	c.candidates = slices.Clone(candidates)
	c.order = make([][]leverid.VMID, len(c.loans))
	for g := range c.order {
		c.order[g] = slices.SortedFunc(slices.Values(c.candidates), func(a, b leverid.VMID) int {
			return cmp.Compare(rendezvous(g, len(c.loans), b), rendezvous(g, len(c.loans), a))
		})
	}
}

// Reset drops all tokens, as after a time in which the steady clock may have stopped. The
// list may be outdated.
func (c *Client) Reset(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.standing.doubt(now)
	for _, w := range c.wallets {
		w.held, w.returned, w.asked = nil, tokens{}, nil
	}
}

// Take takes a token for a request, or returns a Waiter that is decided by later
// messages.
func (c *Client) Take(name leverid.OrganisationID, l Limit, now time.Time) *Waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.wallet(name)
	if l.Version >= w.limit.Version {
		w.limit = l
	}
	r := &Waiter{Organisation: name, Done: make(chan struct{})}
	if w.take(now) {
		r.decide(Decision{Granted: true})
		return r
	}
	if wait := w.over.refuse(c.terms.Window, now); wait > 0 {
		r.decide(Decision{RetryAfter: wait})
		return r
	}
	w.queue = append(w.queue, r)
	c.pending[name] = w
	return r
}

// GiveUp decides a request that has waited for long enough.
func (c *Client) GiveUp(r *Waiter, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.decided() {
		c.fallBack(r, now)
	}
}

// Return gives back an unused token.
func (c *Client) Return(name leverid.OrganisationID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.wallet(name)
	if !now.Before(w.returned.until) {
		w.returned = tokens{until: now.Add(c.terms.validity())}
	}
	w.returned.n++
	c.pending[name] = w
}

func (c *Client) wallet(name leverid.OrganisationID) *wallet {
	w := c.wallets[name]
	if w == nil {
		w = &wallet{}
		c.wallets[name] = w
	}
	return w
}

func (c *Client) peer(id leverid.VMID) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{}
		c.peers[id] = p
	}
	return p
}

// Due returns the messages to send now.
func (c *Client) Due(now time.Time) []Outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.loans) == 0 {
		return nil
	}
	d := &due{Client: c, now: now, messages: make(map[leverid.VMID]*Message)}
	d.listed, d.unconfirmed = c.standing.listed(now)
	if now.Before(c.quietUntil) {
		d.listed = 0
	}
	return d.collect()
}

// Receive handles the reply of a manager to one of the messages.
func (c *Client) Receive(from leverid.VMID, r *Reply, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(from)
	if p.boot != r.Boot || r.Stamp >= p.stamp {
		p.boot, p.stamp, p.heard = r.Boot, r.Stamp, now
		p.sums = r.Sums
	}
	p.owes, p.failures = time.Time{}, 0
	for _, h := range r.Hints {
		if int(h.Group) < len(c.hints) && len(r.Sums) == len(c.hints) {
			c.hints[h.Group] = h.Manager
		}
	}
	for i := range c.loans {
		l := &c.loans[i]
		if l.to != from || l.boot != r.Boot {
			continue
		}
		if l.releaseSeq != 0 && l.releaseSeq == r.Seq {
			// The manager has stopped to count the vote.
			l.to, l.until, l.releaseSeq = "", time.Time{}, 0
		}
		if l.firstSeq == r.Seq && !r.Late {
			l.first = false
		}
	}
	if r.Late && now.Sub(p.late) >= renewInterval/2 {
		p.lent, p.late = time.Time{}, now
	}
	c.distribute(from, r, now)
}

// distribute gives the granted tokens to the requests that wait.
func (c *Client) distribute(from leverid.VMID, r *Reply, now time.Time) {
	for i := range r.Grants {
		g := &r.Grants[i]
		w := c.wallets[g.Organisation]
		if w == nil || w.asked == nil || w.asked.to != from || w.asked.seq != r.Seq {
			continue
		}
		for _, u := range w.receive(w.asked, g, c.terms.validity(), now) {
			c.fallBack(u, now)
		}
	}
}

// Failed records that a message to a manager could not be sent.
func (c *Client) Failed(to leverid.VMID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(to)
	if p.failures++; p.failures >= maxFailures {
		p.owes = now.Add(-suspectAfter - 1)
	} else {
		// The connection may just have ended. The next message uses another one.
		p.sent = time.Time{}
	}
	for _, w := range c.pending {
		if w.asked != nil && w.asked.to == to {
			w.asked = nil
		}
	}
}

// fallBack decides a request without a manager.
func (c *Client) fallBack(r *Waiter, now time.Time) {
	w := c.wallet(r.Organisation)
	w.leave(r)
	if c.mayFallBack(r.Organisation, w, now) {
		w.fallbackAt = now
		r.decide(Decision{Granted: true, Fallback: true})
		return
	}
	r.decide(Decision{Undecided: true, RetryAfter: undecidedRetry})
}

// mayFallBack reports whether this VM may run a request of an organisation without a
// manager: one in each window if it is among the first VMs by a hash, as many as there
// are requests for the whole fleet. The previous process may have used the one of the
// first window.
func (c *Client) mayFallBack(name leverid.OrganisationID, w *wallet, now time.Time) bool {
	window := c.terms.Window + c.terms.validity()
	if now.Sub(c.standing.start) < window || !w.fallbackAt.IsZero() && now.Sub(w.fallbackAt) < window {
		return false
	}
	if listed, unconfirmed := c.standing.listed(now); listed == 0 || unconfirmed {
		return false
	}
	own, before := fallbackRank(name, c.self), 0
	for _, id := range c.fleet.List {
		if fallbackRank(name, id) > own {
			before++
		}
	}
	return before < c.terms.fallback()
}

func fallbackRank(name leverid.OrganisationID, id leverid.VMID) uint64 {
	return leverid.Hash("allowance-fallback", string(name), string(id))
}

// choose returns the manager of a group: one that is known to have the majority, or the
// first live candidate by a hash. It returns "" if there is none.
func (c *Client) choose(g int, now time.Time) leverid.VMID {
	groups := len(c.loans)
	if id := c.loans[g].to; c.hasMajority(id, g, groups, now) {
		return id
	}
	if id := c.majorityOf(g, now); id != "" {
		return id
	}
	for _, id := range c.order[g] {
		if c.usable(id, now) {
			return id
		}
	}
	return ""
}

// majorityOf returns the candidate that is known to have the majority for a group.
func (c *Client) majorityOf(g int, now time.Time) leverid.VMID {
	for _, id := range c.order[g] {
		if c.hasMajority(id, g, len(c.loans), now) {
			return id
		}
	}
	if id := c.hints[g]; c.hasMajority(id, g, len(c.loans), now) {
		return id
	}
	return ""
}

// Holder returns the VM that is known to have the majority for a group, or "".
func (c *Client) Holder(group, groups int, now time.Time) leverid.VMID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if groups != len(c.loans) {
		return ""
	}
	if id := c.loans[group].to; c.hasMajority(id, group, groups, now) {
		return id
	}
	return c.majorityOf(group, now)
}

func (c *Client) hasMajority(id leverid.VMID, g, groups int, now time.Time) bool {
	return id != "" && c.peer(id).sum(g, groups, now) > halfPercent && c.usable(id, now)
}

// usable reports whether a VM is live and answers.
func (c *Client) usable(id leverid.VMID, now time.Time) bool {
	return slices.Contains(c.fleet.Ranked, id) && !c.peer(id).suspect(now)
}
