// Package levercrash stops requests that crash upstreams from crashing more of
// them. It records the fingerprints of requests whose connections were reset
// without a response. It does no I/O.
package levercrash

import (
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// Level is how requests with a fingerprint are treated. When two VMs' entries
// are merged, Barred outweighs the other levels; between those, the later entry
// counts.
type Level uint8

// Levels of a fingerprint.
const (
	// Clear requests run normally.
	Clear Level = iota
	// Suspect requests run on one shard first.
	Suspect
	// Barred requests are refused.
	Barred
)

const (
	// evidenceTTL is how long a reset counts as evidence.
	evidenceTTL = 30 * time.Second
	// suspectTTL and barredTTL are how long the levels last.
	suspectTTL = 2 * time.Minute
	barredTTL  = 10 * time.Minute
	// successTTL is how long a response counts as evidence against a crash by
	// the request.
	successTTL = 5 * time.Second
	// suspectResets is the number of different upstreams that must have reset a
	// request before it is suspect.
	suspectResets = 2
	// maxEntries bounds the number of entries; the one that expires first is
	// evicted.
	maxEntries = 4096
)

// Entry is what VMs report to each other about one fingerprint.
type Entry struct {
	Fingerprint leverid.Fingerprint `json:"fingerprint" msgpack:"f"`
	Level       Level               `json:"level" msgpack:"l"`
	Service     leverid.ServiceID   `json:"service" msgpack:"s"`
	// Upstream is one that reset the request; a trial runs on its shard.
	Upstream leverid.UpstreamID `json:"upstream" msgpack:"u"`
	// Since orders the entries of one fingerprint: a later Clear replaces an
	// earlier Suspect. Until is when the entry expires.
	Since time.Time `json:"since" msgpack:"a"`
	Until time.Time `json:"until" msgpack:"t"`
}

// Reset is a connection that closed after the request was sent, without a
// response.
type Reset struct {
	Fingerprint leverid.Fingerprint
	Service     leverid.ServiceID
	Upstream    leverid.UpstreamID
	Shard       leverid.ShardID
	// Trial marks the single attempt of a suspect request.
	Trial bool
}

// resetRecord is a reset that counts as evidence.
type resetRecord struct {
	at    time.Time
	shard leverid.ShardID
}

// evidence holds the resets of one fingerprint.
type evidence struct {
	upstreams map[leverid.UpstreamID]resetRecord
	// lastSuccess is when an upstream last responded to a request with the
	// fingerprint.
	lastSuccess time.Time
}

// suspicious reports whether the resets are unlikely to be ordinary crashes: two
// upstreams reset the request and none has responded to it within successTTL, or
// two replicas of one shard reset it.
func (e *evidence) suspicious(now time.Time) bool {
	perShard := make(map[leverid.ShardID]int)
	for _, r := range e.upstreams {
		perShard[r.shard]++
		if perShard[r.shard] >= suspectResets {
			return true
		}
	}
	return len(e.upstreams) >= suspectResets && now.Sub(e.lastSuccess) > successTTL
}

// Guard tracks the fingerprints of requests that crash upstreams. The zero
// value is ready to use. It is safe for concurrent use.
type Guard struct {
	mu       sync.Mutex
	evidence map[leverid.Fingerprint]*evidence
	entries  map[leverid.Fingerprint]Entry
	trials   map[leverid.Fingerprint]bool
	// tracked is an upper bound on the number of fingerprints with evidence, read
	// without mu.
	tracked atomic.Int64
}

// Level returns the level of a fingerprint and, for a suspect one, the upstream
// whose shard runs the trial.
func (g *Guard) Level(f leverid.Fingerprint, now time.Time) (Level, leverid.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.entries[f]
	if !ok || !now.Before(e.Until) {
		return Clear, ""
	}
	return e.Level, e.Upstream
}

// Reset records that an upstream reset a request. It returns the fingerprint's
// level after that, and whether that level is new.
func (g *Guard) Reset(r Reset, now time.Time) (Level, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	old := g.entries[r.Fingerprint]
	ev := g.addEvidence(r, now)
	switch {
	case old.Level == Barred:
		return Barred, false
	case old.Level == Suspect && r.Trial:
		return Barred, g.setLevel(r, Barred, now)
	case old.Level == Suspect:
		return Suspect, false
	case ev.suspicious(now):
		return Suspect, g.setLevel(r, Suspect, now)
	}
	return Clear, false
}

// Good records that an upstream responded to a request with the fingerprint. It
// deletes the evidence of the same shard; for successTTL, resets at different
// shards count as ordinary crashes. It takes no lock unless a request was reset
// recently.
func (g *Guard) Good(f leverid.Fingerprint, shard leverid.ShardID, now time.Time) {
	if g.tracked.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	ev := g.evidence[f]
	if ev == nil {
		return
	}
	ev.lastSuccess = now
	for u, r := range ev.upstreams {
		if r.shard == shard {
			delete(ev.upstreams, u)
		}
	}
}

// ClearSuspect clears a suspect fingerprint, such as after a successful trial.
// It reports whether the fingerprint was suspect.
func (g *Guard) ClearSuspect(f leverid.Fingerprint, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.evidence, f)
	e, ok := g.entries[f]
	if !ok || e.Level != Suspect {
		return false
	}
	e.Level = Clear
	e.Since = nextSince(e, now)
	e.Until = now.Add(suspectTTL)
	g.entries[f] = e
	return true
}

// BeginTrial reports whether a trial of the fingerprint may start on this VM.
// Only one trial per fingerprint runs at a time.
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

// EndTrial ends a trial that BeginTrial allowed.
func (g *Guard) EndTrial(f leverid.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.trials, f)
}

// Merge merges the entries of other VMs and returns those that were new or
// replaced an entry of this VM.
func (g *Guard) Merge(entries []Entry, now time.Time) []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	var changed []Entry
	for _, e := range entries {
		if !now.Before(e.Until) || !supersedes(e, g.entries[e.Fingerprint]) {
			continue
		}
		g.put(e)
		if e.Level == Clear {
			delete(g.evidence, e.Fingerprint)
		}
		changed = append(changed, e)
	}
	return changed
}

// nextSince returns now, or a time just after the replaced entry if that is
// later: the clock of the VM that made it may be ahead.
func nextSince(old Entry, now time.Time) time.Time {
	if now.After(old.Since) {
		return now
	}
	return old.Since.Add(time.Nanosecond)
}

// supersedes reports whether a replaces b. Barred lasts until it expires;
// between the other levels the later entry counts.
func supersedes(a, b Entry) bool {
	if b.Fingerprint == 0 {
		return true
	}
	if (a.Level == Barred) != (b.Level == Barred) {
		return a.Level == Barred
	}
	return a.Since.After(b.Since)
}

// Entries returns the entries that have not expired, including Clear ones.
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

func (g *Guard) addEvidence(r Reset, now time.Time) *evidence {
	if g.evidence == nil {
		g.evidence = make(map[leverid.Fingerprint]*evidence)
	}
	ev := g.evidence[r.Fingerprint]
	if ev == nil {
		ev = &evidence{upstreams: make(map[leverid.UpstreamID]resetRecord)}
		g.evidence[r.Fingerprint] = ev
	}
	ev.upstreams[r.Upstream] = resetRecord{now, r.Shard}
	g.tracked.Store(int64(len(g.evidence)))
	return ev
}

func (g *Guard) setLevel(r Reset, level Level, now time.Time) bool {
	life := suspectTTL
	if level == Barred {
		life = barredTTL
	}
	g.put(Entry{
		Fingerprint: r.Fingerprint,
		Level:       level,
		Service:     r.Service,
		Upstream:    r.Upstream,
		Since:       nextSince(g.entries[r.Fingerprint], now),
		Until:       now.Add(life),
	})
	return true
}

func (g *Guard) put(e Entry) {
	if g.entries == nil {
		g.entries = make(map[leverid.Fingerprint]Entry)
	}
	if _, ok := g.entries[e.Fingerprint]; !ok && len(g.entries) >= maxEntries {
		g.evictNextToExpire()
	}
	g.entries[e.Fingerprint] = e
}

func (g *Guard) evictNextToExpire() {
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
			if now.Sub(r.at) > evidenceTTL {
				delete(ev.upstreams, u)
			}
		}
		if len(ev.upstreams) == 0 {
			delete(g.evidence, f)
		}
	}
	g.tracked.Store(int64(len(g.evidence)))
	for f, e := range g.entries {
		if !now.Before(e.Until) {
			delete(g.entries, f)
		}
	}
}
