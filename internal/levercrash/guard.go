// Package levercrash stops requests that crash upstreams from crashing more of
// them. It records the fingerprints of requests whose connections were reset
// without a response. It does no I/O.
package levercrash

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// Level is how requests with a fingerprint are treated. Its numbers are those of messages
// between VMs.
type Level uint8

// Levels of a fingerprint.
const (
	// Clear requests run normally.
	Clear Level = iota
	// Suspect requests run on one shard first.
	Suspect
	// Barred requests are refused.
	Barred
	// Noted requests run normally. An upstream has reset one and, as far as is known, has
	// crashed; that counts as evidence on all VMs.
	Noted
)

// severities orders the levels.
var severities = [...]int{Clear: 0, Noted: 1, Suspect: 2, Barred: 3}

// Valid reports whether this build knows the level.
func (l Level) Valid() bool { return int(l) < len(severities) }

// Severity returns a number that is higher for graver levels. The level must be valid.
func (l Level) Severity() int { return severities[l] }

var levelNames = [...]string{Clear: "clear", Suspect: "suspect", Barred: "barred", Noted: "noted"}

// String returns the level's name.
func (l Level) String() string {
	if l.Valid() {
		return levelNames[l]
	}
	return "unknown"
}

// LevelOf returns the level with a name, or false if there is none.
func LevelOf(name string) (Level, bool) {
	i := slices.Index(levelNames[:], name)
	return Level(max(i, 0)), i >= 0
}

const (
	// notedTTL, suspectTTL and barredTTL are how long the levels last. After that, a barred
	// request is suspect again for probationTTL, so that it may crash one upstream more.
	notedTTL     = evidenceTTL
	suspectTTL   = 10 * time.Minute
	barredTTL    = 10 * time.Minute
	probationTTL = 40 * time.Minute
	// ConfirmAfter is the time after the reset of a trial at which ConfirmBar decides
	// whether the upstream has crashed. The bar until then lasts provisionalTTL.
	ConfirmAfter   = aliveWindow
	provisionalTTL = ConfirmAfter + 500*time.Millisecond
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
	// Born distinguishes runs of the upstream.
	Born int64 `json:"born,omitempty" msgpack:"b,omitempty"`
	// Since orders the entries of one fingerprint: a later Clear replaces an
	// earlier Suspect. Until is when the entry expires.
	Since time.Time `json:"since" msgpack:"a"`
	Until time.Time `json:"until" msgpack:"t"`
}

// Current returns an entry as it counts now, or false and the zero Entry if it has
// expired.
func (e Entry) Current(now time.Time) (Entry, bool) {
	if e.Level == Barred && !now.Before(e.Until) {
		e.Level, e.Since, e.Until = Suspect, e.Until, e.Until.Add(probationTTL)
	}
	if !now.Before(e.Until) {
		return Entry{}, false
	}
	return e, true
}

// Guard tracks the fingerprints of requests that crash upstreams. The zero
// value is ready to use. It is safe for concurrent use.
type Guard struct {
	mu      sync.Mutex
	set     evidenceSet
	entries map[leverid.Fingerprint]Entry
	trials  map[leverid.Fingerprint]bool
	// tracked is an upper bound on the number of fingerprints with evidence, read
	// without mu.
	tracked atomic.Int64
}

// Level returns the level of a fingerprint and, for a suspect one, the upstream
// whose shard runs the trial.
func (g *Guard) Level(f leverid.Fingerprint, now time.Time) (Level, leverid.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.entries[f].Current(now)
	if !ok {
		return Clear, ""
	}
	return e.Level, e.Upstream
}

// Note records that an upstream reset a request, as evidence for a later Judge.
func (g *Guard) Note(r Reset, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	g.set.add(r, now)
	g.countTracked()
}

// Judge returns the level of a fingerprint after the resets that Note has recorded, r
// among them, and whether that level is new. Only resets that have stood for settle
// make a fingerprint suspect. If a trial was reset, ConfirmBar must follow.
func (g *Guard) Judge(r Reset, settle time.Duration, now time.Time) (Level, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, _ := g.entries[r.Fingerprint].Current(now)
	ev := g.set.evidence[r.Fingerprint]
	switch {
	case old.Level == Barred:
		return Barred, false
	case old.Level == Suspect && r.Trial:
		g.setLevel(r, Barred, provisionalTTL, now)
		return Barred, true
	case old.Level == Suspect:
		return Suspect, false
	case ev != nil && ev.suspicious(now, settle):
		g.setLevel(r, Suspect, suspectTTL, now)
		return Suspect, true
	}
	return Clear, false
}

// ConfirmBar bars a fingerprint whose trial was reset, unless the upstream has responded
// since then. It returns the entry, and whether the fingerprint is barred.
func (g *Guard) ConfirmBar(r Reset, now time.Time) (Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ev := g.set.evidence[r.Fingerprint]
	if ev == nil {
		return Entry{}, false
	}
	if _, ok := ev.resets[run{r.Upstream, r.Born}]; !ok {
		return Entry{}, false
	}
	g.setLevel(r, Barred, barredTTL, now)
	return g.entries[r.Fingerprint], true
}

// Suspect makes a fingerprint suspect, on evidence that other VMs have seen, unless it
// has a level. It returns the entry, and whether it is new.
func (g *Guard) Suspect(r Reset, now time.Time) (Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.entries[r.Fingerprint].Current(now); ok && e.Level.Severity() >= Suspect.Severity() {
		return e, false
	}
	g.setLevel(r, Suspect, suspectTTL, now)
	return g.entries[r.Fingerprint], true
}

// MarkNoted makes a fingerprint noted, on evidence of one reset that stands, unless it has
// a level. It returns the entry, and whether it is new.
func (g *Guard) MarkNoted(r Reset, now time.Time) (Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.entries[r.Fingerprint].Current(now); ok && e.Level != Clear {
		return e, false
	}
	g.setLevel(r, Noted, notedTTL, now)
	return g.entries[r.Fingerprint], true
}

// Good records that an upstream responded to a request with the fingerprint. It
// deletes the evidence of the same shard, and reports whether there was some; for
// successTTL, resets at different shards count as ordinary crashes. It takes no lock
// unless a request was reset recently.
func (g *Guard) Good(f leverid.Fingerprint, shard leverid.ShardID, now time.Time) bool {
	if g.tracked.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.good(f, shard, now)
}

// Alive records that a run of an upstream has responded to a request sent at a time, so
// that it has not crashed by the requests that it reset shortly before. It returns their
// fingerprints. It takes no lock unless a request was reset recently.
func (g *Guard) Alive(u leverid.UpstreamID, born int64, sent, now time.Time) []leverid.Fingerprint {
	if g.tracked.Load() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.alive(run{u, born}, sent, now)
}

// ClearSuspect clears a suspect fingerprint, such as after a successful trial.
// It reports whether the fingerprint was suspect.
func (g *Guard) ClearSuspect(f leverid.Fingerprint, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.set.evidence, f)
	e, ok := g.entries[f].Current(now)
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
		if old, _ := g.entries[e.Fingerprint].Current(now); !now.Before(e.Until) || !e.Supersedes(old) {
			continue
		}
		g.put(e)
		if e.Level == Clear {
			delete(g.set.evidence, e.Fingerprint)
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

// Supersedes reports whether e replaces old. Barred lasts until it expires, and the graver
// of two levels counts; between Clear and a level below Barred, the later entry does.
func (e Entry) Supersedes(old Entry) bool {
	if old.Fingerprint == 0 {
		return true
	}
	anyClear := e.Level == Clear || old.Level == Clear
	if e.Level != old.Level && (!anyClear || e.Level == Barred || old.Level == Barred) {
		return e.Level.Severity() > old.Level.Severity()
	}
	return e.Since.After(old.Since)
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

func (g *Guard) countTracked() { g.tracked.Store(int64(len(g.set.evidence))) }

// setLevel gives a fingerprint a level for a time.
func (g *Guard) setLevel(r Reset, level Level, ttl time.Duration, now time.Time) {
	g.put(Entry{
		Fingerprint: r.Fingerprint,
		Level:       level,
		Service:     r.Service,
		Upstream:    r.Upstream,
		Born:        r.Born,
		Since:       nextSince(g.entries[r.Fingerprint], now),
		Until:       now.Add(ttl),
	})
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
	g.set.expire(now)
	g.countTracked()
	for f, e := range g.entries {
		if e, ok := e.Current(now); ok {
			g.entries[f] = e
		} else {
			delete(g.entries, f)
		}
	}
}
