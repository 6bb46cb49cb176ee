// Package levercrash keeps requests that crash upstreams from felling more of
// them. It remembers the fingerprints of requests whose connections were reset
// without a reply. It does no I/O.
package levercrash

import (
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// Level is how far a fingerprint is trusted. A higher level outweighs a lower
// one when two VMs' entries are merged.
type Level uint8

// The levels.
const (
	// Clear requests run as usual.
	Clear Level = iota
	// Suspect requests run on one shard first.
	Suspect
	// Barred requests are refused.
	Barred
)

const (
	// evidenceLife is how long a reset counts towards suspicion.
	evidenceLife = 30 * time.Second
	// suspectLife and barredLife are how long the levels last.
	suspectLife = 2 * time.Minute
	barredLife  = 10 * time.Minute
	// goodLife is how long an answer speaks for a request's innocence.
	goodLife = 5 * time.Second
	// suspectResets is the number of different upstreams that must have reset
	// one request before it is suspect.
	suspectResets = 2
	// maxEntries bounds the memory; the entries that lapse first make room.
	maxEntries = 4096
)

// Entry is what VMs tell each other about one fingerprint.
type Entry struct {
	Fingerprint leverid.Fingerprint `json:"fingerprint" msgpack:"f"`
	Level       Level               `json:"level" msgpack:"l"`
	Service     leverid.ServiceID   `json:"service" msgpack:"s"`
	// Upstream is one that reset the request; a trial goes to its shard.
	Upstream leverid.UpstreamID `json:"upstream" msgpack:"u"`
	// Since orders entries of one fingerprint: a later Clear outweighs an
	// earlier Suspect. Until is when the entry lapses.
	Since time.Time `json:"since" msgpack:"a"`
	Until time.Time `json:"until" msgpack:"t"`
}

// Reset is one connection that ended after the send, without a reply.
type Reset struct {
	Fingerprint leverid.Fingerprint
	Service     leverid.ServiceID
	Upstream    leverid.UpstreamID
	Shard       leverid.ShardID
	// Trial marks the single attempt of a suspect request.
	Trial bool
}

// resetAt is one reset that counts towards suspicion.
type resetAt struct {
	at    time.Time
	shard leverid.ShardID
}

// evidence is what is known of one fingerprint that was reset.
type evidence struct {
	upstreams map[leverid.UpstreamID]resetAt
	// good is when an upstream last answered a request with the fingerprint.
	good time.Time
}

// suspicious reports whether the resets are more than ordinary crashes would
// make: the request was reset by two upstreams and no other one answered it, or
// by two replicas of one shard.
func (e *evidence) suspicious(now time.Time) bool {
	perShard := make(map[leverid.ShardID]int)
	for _, r := range e.upstreams {
		perShard[r.shard]++
		if perShard[r.shard] >= suspectResets {
			return true
		}
	}
	return len(e.upstreams) >= suspectResets && now.Sub(e.good) > goodLife
}

// Guard holds the fingerprints. The zero value is ready to use. It is safe for
// concurrent use.
type Guard struct {
	mu       sync.Mutex
	evidence map[leverid.Fingerprint]*evidence
	entries  map[leverid.Fingerprint]Entry
	trials   map[leverid.Fingerprint]bool
	// watched is the number of fingerprints with evidence.
	watched atomic.Int64
}

// Level returns the level of a fingerprint and, for a suspect, the upstream
// whose shard a trial goes to.
func (g *Guard) Level(f leverid.Fingerprint, now time.Time) (Level, leverid.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.entries[f]
	if !ok || !now.Before(e.Until) {
		return Clear, ""
	}
	return e.Level, e.Upstream
}

// Reset takes in a reset and returns the fingerprint's level after it, and
// whether that level is new.
func (g *Guard) Reset(r Reset, now time.Time) (Level, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	old := g.entries[r.Fingerprint]
	ev := g.note(r, now)
	switch {
	case old.Level == Barred:
		return Barred, false
	case old.Level == Suspect && r.Trial:
		return Barred, g.raise(r, Barred, now)
	case old.Level == Suspect:
		return Suspect, false
	case ev.suspicious(now):
		return Suspect, g.raise(r, Suspect, now)
	}
	return Clear, false
}

// Good takes in that an upstream answered a request with the fingerprint: its
// resets at other shards are then ordinary crashes. It is cheap while no
// request was reset.
func (g *Guard) Good(f leverid.Fingerprint, shard leverid.ShardID, now time.Time) {
	if g.watched.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	ev := g.evidence[f]
	if ev == nil {
		return
	}
	ev.good = now
	for u, r := range ev.upstreams {
		if r.shard == shard {
			delete(ev.upstreams, u)
		}
	}
}

// Pass takes in that a trial went well: the fingerprint is clear again.
func (g *Guard) Pass(f leverid.Fingerprint, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.evidence, f)
	e, ok := g.entries[f]
	if !ok || e.Level != Suspect {
		return false
	}
	e.Level = Clear
	e.Since = after(e, now)
	e.Until = now.Add(suspectLife)
	g.entries[f] = e
	return true
}

// BeginTrial reports whether a trial of the fingerprint may start here. Only
// one runs at a time.
func (g *Guard) BeginTrial(f leverid.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.trials[f] {
		return false
	}
	if g.trials == nil {
		g.trials = make(map[leverid.Fingerprint]bool)
	}
	g.trials[f] = true
	return true
}

// EndTrial ends a trial that BeginTrial let start.
func (g *Guard) EndTrial(f leverid.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.trials, f)
}

// Merge takes in the entries of other VMs. It returns those that were news.
func (g *Guard) Merge(entries []Entry, now time.Time) []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	var news []Entry
	for _, e := range entries {
		if !now.Before(e.Until) || !outweighs(e, g.entries[e.Fingerprint]) {
			continue
		}
		g.set(e)
		if e.Level == Clear {
			delete(g.evidence, e.Fingerprint)
		}
		news = append(news, e)
	}
	return news
}

// after returns now, or a time just after the entry that is replaced if that is
// later: the clock of the VM that made it may be ahead.
func after(old Entry, now time.Time) time.Time {
	if now.After(old.Since) {
		return now
	}
	return old.Since.Add(time.Nanosecond)
}

// outweighs reports whether a replaces b. A bar stands until it lapses; between
// the other levels the later entry counts.
func outweighs(a, b Entry) bool {
	if b.Fingerprint == 0 {
		return true
	}
	if (a.Level == Barred) != (b.Level == Barred) {
		return a.Level == Barred
	}
	return a.Since.After(b.Since)
}

// Entries returns the entries that have not lapsed, Clear ones included.
func (g *Guard) Entries(now time.Time) []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	out := make([]Entry, 0, len(g.entries))
	for _, e := range g.entries {
		out = append(out, e)
	}
	return out
}

func (g *Guard) note(r Reset, now time.Time) *evidence {
	if g.evidence == nil {
		g.evidence = make(map[leverid.Fingerprint]*evidence)
	}
	ev := g.evidence[r.Fingerprint]
	if ev == nil {
		ev = &evidence{upstreams: make(map[leverid.UpstreamID]resetAt)}
		g.evidence[r.Fingerprint] = ev
	}
	ev.upstreams[r.Upstream] = resetAt{now, r.Shard}
	g.watched.Store(int64(len(g.evidence)))
	return ev
}

func (g *Guard) raise(r Reset, level Level, now time.Time) bool {
	life := suspectLife
	if level == Barred {
		life = barredLife
	}
	g.set(Entry{
		Fingerprint: r.Fingerprint,
		Level:       level,
		Service:     r.Service,
		Upstream:    r.Upstream,
		Since:       after(g.entries[r.Fingerprint], now),
		Until:       now.Add(life),
	})
	return true
}

func (g *Guard) set(e Entry) {
	if g.entries == nil {
		g.entries = make(map[leverid.Fingerprint]Entry)
	}
	if _, ok := g.entries[e.Fingerprint]; !ok && len(g.entries) >= maxEntries {
		g.dropSoonest()
	}
	g.entries[e.Fingerprint] = e
}

func (g *Guard) dropSoonest() {
	var victim Entry
	for _, e := range g.entries {
		if victim.Fingerprint == 0 || e.Until.Before(victim.Until) {
			victim = e
		}
	}
	delete(g.entries, victim.Fingerprint)
}

func (g *Guard) expire(now time.Time) {
	for f, ev := range g.evidence {
		for u, r := range ev.upstreams {
			if now.Sub(r.at) > evidenceLife {
				delete(ev.upstreams, u)
			}
		}
		if len(ev.upstreams) == 0 {
			delete(g.evidence, f)
		}
	}
	g.watched.Store(int64(len(g.evidence)))
	for f, e := range g.entries {
		if !now.Before(e.Until) {
			delete(g.entries, f)
		}
	}
}
