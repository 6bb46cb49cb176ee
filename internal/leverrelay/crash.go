package leverrelay

import (
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverid"
)

// Crash is the encoded form of a levercrash.Entry. It holds durations
// instead of points in time because the VMs' clocks differ.
type Crash struct {
	Fingerprint leverid.Fingerprint `msgpack:"f"`
	Level       levercrash.Level    `msgpack:"l"`
	Service     leverid.ServiceID   `msgpack:"s"`
	Upstream    leverid.UpstreamID  `msgpack:"u"`
	// Age is the time since the level was reached.
	Age time.Duration `msgpack:"a"`
	// Left is the time until the entry expires.
	Left time.Duration `msgpack:"t"`
}

// NewCrash returns the encoded form of an entry.
func NewCrash(e levercrash.Entry, now time.Time) Crash {
	return Crash{
		Fingerprint: e.Fingerprint, Level: e.Level, Service: e.Service, Upstream: e.Upstream,
		Age: now.Sub(e.Since), Left: e.Until.Sub(now),
	}
}

// Entry returns the entry with times of the local clock.
func (c Crash) Entry(now time.Time) levercrash.Entry {
	return levercrash.Entry{
		Fingerprint: c.Fingerprint, Level: c.Level, Service: c.Service, Upstream: c.Upstream,
		Since: now.Add(-c.Age), Until: now.Add(c.Left),
	}
}

// crashRecord is an entry and the change by which it was recorded.
type crashRecord struct {
	entry levercrash.Entry
	seq   uint64
}

// maxCrashes bounds the recorded crash entries. levercrash keeps as many.
const maxCrashes = 4096

// AddCrashes records crash entries to be sent to all children.
func (m *Board) AddCrashes(entries []levercrash.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addCrashes(entries)
}

func (m *Board) addCrashes(entries []levercrash.Entry) {
	if len(entries) == 0 {
		return
	}
	if m.crashes == nil || len(m.crashes)+len(entries) > maxCrashes {
		m.crashes = make(map[leverid.Fingerprint]crashRecord)
	}
	m.seq++
	changed := false
	for _, e := range entries {
		old, ok := m.crashes[e.Fingerprint]
		if ok && old.entry.Level == e.Level {
			continue
		}
		m.crashes[e.Fingerprint] = crashRecord{e, m.seq}
		changed = true
	}
	if changed {
		m.notifyWaiters()
	}
}

func (m *Board) crashesSince(seq uint64, now time.Time) []Crash {
	var out []Crash
	for _, c := range m.crashes {
		if c.seq > seq && now.Before(c.entry.Until) {
			out = append(out, NewCrash(c.entry, now))
		}
	}
	return out
}
