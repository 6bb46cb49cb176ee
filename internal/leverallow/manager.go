package leverallow

import (
	"strconv"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// lease is how long a vote is lent with one message. The manager counts it from the
	// reply that the message echoes, the VM from when it sends the message, which is
	// later.
	lease = 500 * time.Millisecond
	// unconfirmedWeight is the weight of the vote of a VM whose list may be outdated,
	// relative to one of an up-to-date list. The list may have grown by a third
	// meanwhile.
	unconfirmedWeight = 0.75
	// spareFraction is how full a bucket must be to give tokens for requests to come.
	spareFraction = 0.5
	// minWait is the least time after which a refused request is told to come again.
	minWait = 5 * time.Millisecond
)

// groupOf returns the group of an organisation.
func groupOf(name leverid.OrganisationID, groups int) int {
	return int(leverid.Hash("allowance", string(name)) % uint64(max(groups, 1)))
}

// poolKey identifies a pool. VMs with lists of different lengths may divide the
// organisations into different numbers of groups; each VM lends its vote in one
// division at a time.
type poolKey struct{ groups, group int }

// sender is what a manager knows of the process of another VM.
type sender struct{ boot, seq uint32 }

// Manager manages the buckets of the groups for which it has votes. It is safe for
// concurrent use.
type Manager struct {
	terms Terms
	boot  uint32
	start time.Time
	// limits returns the limit of an organisation by this VM's configuration. It has
	// the zero version if the configuration does not have the organisation.
	limits func(leverid.OrganisationID) Limit
	// holder returns the VM that has the majority for a group as far as this VM knows,
	// or "".
	holder func(group, groups int) leverid.VMID

	mu      sync.Mutex
	pools   map[poolKey]*pool
	senders map[leverid.VMID]sender
	// whole holds the groups for which this VM had the majority at the last call of
	// Changes.
	whole map[poolKey]bool
}

// Changes returns the groups for which this VM has got or lost the majority since the
// last call.
func (m *Manager) Changes(now time.Time) (got, lost []int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, p := range m.pools {
		p.advance(now)
		switch whole := p.fraction == 1; {
		case whole && !m.whole[key]:
			m.whole[key] = true
			got = append(got, key.group)
		case !whole && m.whole[key]:
			delete(m.whole, key)
			lost = append(lost, key.group)
		}
		if len(p.votes) == 0 && p.suspension == nil {
			delete(m.pools, key)
		}
	}
	return got, lost
}

// NewManager returns a manager without votes. boot must differ from that of the VM's
// other processes.
func NewManager(t Terms, boot uint32, limits func(leverid.OrganisationID) Limit, holder func(group, groups int) leverid.VMID, now time.Time) *Manager {
	return &Manager{terms: t, boot: boot, start: now, limits: limits, holder: holder, pools: make(map[poolKey]*pool), senders: make(map[leverid.VMID]sender), whole: make(map[poolKey]bool)}
}

// Reset drops all votes, as after a time in which the steady clock may have stopped.
func (m *Manager) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.pools)
	clear(m.whole)
}

// Handle handles the message of a VM.
func (m *Manager) Handle(from leverid.VMID, msg *Message, now time.Time) *Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	groups := int(min(max(msg.Groups, 1), maxGroups))
	s := m.senders[from]
	newest := s.boot != msg.Boot || msg.Seq > s.seq
	if newest {
		m.senders[from] = sender{msg.Boot, msg.Seq}
	}
	// Taking back a vote is safe however old the message is.
	m.release(from, msg, groups, now)
	counted := false
	if until := m.start.Add(time.Duration(msg.Echo)*time.Millisecond + lease); newest && msg.EchoBoot == m.boot && now.Before(until) {
		m.count(from, msg, groups, until, now)
		counted = true
	}
	r := &Reply{Boot: m.boot, Stamp: now.Sub(m.start).Milliseconds(), Seq: msg.Seq, Sums: make([]byte, groups), Late: msg.Lend != 0 && !counted}
	for g := range r.Sums {
		if p := m.pools[poolKey{groups, g}]; p != nil {
			p.advance(now)
			r.Sums[g] = byte(min(p.sum, 1) * 100)
		}
		if r.Sums[g] > halfPercent || msg.Lend != 0 && !msg.Lend.has(g) {
			continue
		}
		if id := m.holder(g, groups); id != "" {
			r.Hints = append(r.Hints, Hint{Group: uint8(g), Manager: id})
		}
	}
	for i := range msg.Asks {
		r.Grants = append(r.Grants, m.grant(&msg.Asks[i], groups, newest, now))
	}
	return r
}

// count counts the votes of a message.
func (m *Manager) count(from leverid.VMID, msg *Message, groups int, until, now time.Time) {
	weight := 1 / float64(max(msg.Listed, 1))
	if msg.Unconfirmed {
		weight *= unconfirmedWeight
	}
	for g := range groups {
		if !msg.Lend.has(g) {
			continue
		}
		key := poolKey{groups, g}
		p := m.pools[key]
		if p == nil {
			p = newPool(m.terms, now)
			m.pools[key] = p
		}
		p.lend(from, vote{weight: weight, until: until, gift: msg.Gift.has(g), first: msg.First.has(g)}, now)
	}
}

func (m *Manager) release(from leverid.VMID, msg *Message, groups int, now time.Time) {
	for g := range groups {
		if p := m.pools[poolKey{groups, g}]; p != nil && msg.Release.has(g) {
			p.remove(from, now)
		}
	}
}

// grant answers an ask. Tokens given back count only if the message is the newest one
// of its VM, so that no copy of it counts.
func (m *Manager) grant(a *Ask, groups int, newest bool, now time.Time) Grant {
	p := m.pools[poolKey{groups, groupOf(a.Organisation, groups)}]
	if p == nil {
		return Grant{Organisation: a.Organisation, Undecided: true}
	}
	p.advance(now)
	if p.fraction == 0 {
		return Grant{Organisation: a.Organisation, Undecided: true}
	}
	l := a.limit()
	if own := m.limits(a.Organisation); own.Version > l.Version {
		l = own
	}
	if l.Rate <= 0 {
		// The newer configuration has no limit for it.
		return Grant{Organisation: a.Organisation, Granted: a.Need}
	}
	b := p.bucket(a.Organisation, l)
	capacity := p.fraction * m.terms.capacity(b.limit)
	if newest {
		b.tokens = min(b.tokens+float64(a.Returned), capacity)
	}
	granted := b.take(int(a.Need), 0)
	refused := int(a.Need) - granted
	if refused == 0 {
		return Grant{Organisation: a.Organisation, Granted: uint16(granted + b.take(int(a.Spare), spareFraction*capacity))}
	}
	wait, step := b.promise(refused, p.fraction, m.terms.Window.Seconds(), now)
	return Grant{
		Organisation: a.Organisation,
		Granted:      uint16(granted), WaitMicros: micros(max(wait, minWait)), StepMicros: micros(step),
	}
}

// rendezvous returns the rank of a VM as the manager of a group. The highest one
// manages it.
func rendezvous(group, groups int, id leverid.VMID) uint64 {
	return leverid.Hash("allowance-manager", strconv.Itoa(groups), strconv.Itoa(group), string(id))
}

// micros returns a duration in microseconds, rounded up. An hour is the longest one.
func micros(d time.Duration) uint32 { return uint32(min(d, time.Hour)/time.Microsecond) + 1 }
