package leverrelay

import (
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverid"
)

// CrashEntry is the encoded form of a levercrash.Entry. It holds durations
// instead of points in time because the VMs' clocks differ.
type CrashEntry struct {
	Fingerprint leverid.Fingerprint `msgpack:"f"`
	Level       levercrash.Level    `msgpack:"l"`
	Service     leverid.ServiceID   `msgpack:"s"`
	Upstream    leverid.UpstreamID  `msgpack:"u"`
	Born        int64               `msgpack:"b,omitempty"`
	// Age is the time since the level was reached.
	Age time.Duration `msgpack:"a"`
	// Remaining is the time until the entry expires.
	Remaining time.Duration `msgpack:"t"`
}

// NewCrashEntry returns the encoded form of an entry.
func NewCrashEntry(e levercrash.Entry, now time.Time) CrashEntry {
	return CrashEntry{
		Fingerprint: e.Fingerprint, Level: e.Level, Service: e.Service, Upstream: e.Upstream, Born: e.Born,
		Age: now.Sub(e.Since), Remaining: e.Until.Sub(now),
	}
}

// Entry returns the entry with times of the local clock.
func (c CrashEntry) Entry(now time.Time) levercrash.Entry {
	return levercrash.Entry{
		Fingerprint: c.Fingerprint, Level: c.Level, Service: c.Service, Upstream: c.Upstream, Born: c.Born,
		Since: now.Add(-c.Age), Until: now.Add(c.Remaining),
	}
}

// Entries returns the entries of some lists with times of the local clock. Those of levels
// that only a later build knows are left out.
func Entries(now time.Time, lists ...[]CrashEntry) []levercrash.Entry {
	var out []levercrash.Entry
	for _, l := range lists {
		for _, c := range l {
			if c.Level.Valid() {
				out = append(out, c.Entry(now))
			}
		}
	}
	return out
}

// crashRecord is an entry and the change by which it was recorded.
type crashRecord struct {
	entry levercrash.Entry
	seq   uint64
}

// maxCrashes bounds the recorded crash entries; levercrash keeps as many. The one that
// expires first is evicted.
const maxCrashes = 4096

// renewThreshold is how much later an entry must expire than one of the same level to
// be recorded anew. The times of an entry vary with the way that it took.
const renewThreshold = time.Minute

// AddCrashes records crash entries to be sent to all children.
func (m *Mirror) AddCrashes(entries []levercrash.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addCrashes(entries)
}

func (m *Mirror) addCrashes(entries []levercrash.Entry) {
	if len(entries) == 0 {
		return
	}
	if m.crashes == nil {
		m.crashes = make(map[leverid.Fingerprint]crashRecord)
	}
	m.seq++
	changed := false
	for _, e := range entries {
		old, ok := m.crashes[e.Fingerprint]
		if ok && old.entry.Level == e.Level && e.Until.Sub(old.entry.Until) < renewThreshold {
			continue
		}
		if !ok && len(m.crashes) >= maxCrashes {
			m.evictCrash()
		}
		m.crashes[e.Fingerprint] = crashRecord{e, m.seq}
		changed = true
	}
	if changed {
		m.notifyWaiters()
	}
}

// evictCrash evicts the entry that expires first.
func (m *Mirror) evictCrash() {
	var victim leverid.Fingerprint
	for f, c := range m.crashes {
		if victim == 0 || c.entry.Until.Before(m.crashes[victim].entry.Until) {
			victim = f
		}
	}
	delete(m.crashes, victim)
}

// SetCrashesKnown records that the crash levels that the store holds have been added.
func (m *Mirror) SetCrashesKnown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setCrashesKnown()
}

// CrashesKnown reports whether the crash levels that the store holds are known.
func (m *Mirror) CrashesKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashesKnown
}

func (m *Mirror) setCrashesKnown() {
	if m.crashesKnown {
		return
	}
	m.crashesKnown = true
	m.seq++
	if m.OnCrashesKnown != nil {
		m.OnCrashesKnown()
	}
	m.notifyWaiters()
}

// crashesSince returns the levels recorded after seq, Noted ones apart. A bar that has
// expired is sent as the suspicion that follows it.
func (m *Mirror) crashesSince(seq uint64, now time.Time) (levels, noted []CrashEntry) {
	for _, c := range m.crashes {
		switch e, ok := c.entry.Current(now); {
		case !ok || c.seq <= seq:
		case e.Level == levercrash.Noted:
			noted = append(noted, NewCrashEntry(e, now))
		default:
			levels = append(levels, NewCrashEntry(e, now))
		}
	}
	return levels, noted
}
