package leverrelay

import (
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverid"
)

// Crash is what VMs tell each other about one content that crashes upstreams.
// Times are lengths, as the VMs' clocks differ.
type Crash struct {
	Fingerprint leverid.Fingerprint `msgpack:"f"`
	Level       levercrash.Level    `msgpack:"l"`
	Service     leverid.ServiceID   `msgpack:"s"`
	Upstream    leverid.UpstreamID  `msgpack:"u"`
	// Age is how long ago the level was reached, Left how long it counts.
	Age  time.Duration `msgpack:"a"`
	Left time.Duration `msgpack:"t"`
}

// NewCrash returns the message for an entry.
func NewCrash(e levercrash.Entry, now time.Time) Crash {
	return Crash{
		Fingerprint: e.Fingerprint, Level: e.Level, Service: e.Service, Upstream: e.Upstream,
		Age: now.Sub(e.Since), Left: e.Until.Sub(now),
	}
}

// Entry returns the entry of a message.
func (c Crash) Entry(now time.Time) levercrash.Entry {
	return levercrash.Entry{
		Fingerprint: c.Fingerprint, Level: c.Level, Service: c.Service, Upstream: c.Upstream,
		Since: now.Add(-c.Age), Until: now.Add(c.Left),
	}
}

// notedCrash is an entry on the board and when it came there.
type notedCrash struct {
	entry levercrash.Entry
	seq   uint64
}

// maxCrashes bounds the entries on the board; levercrash keeps as many.
const maxCrashes = 4096

// AddCrashes puts entries on the board, to be told to all children.
func (b *Board) AddCrashes(entries []levercrash.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addCrashes(entries)
}

func (b *Board) addCrashes(entries []levercrash.Entry) {
	if len(entries) == 0 {
		return
	}
	if b.crashes == nil || len(b.crashes)+len(entries) > maxCrashes {
		b.crashes = make(map[leverid.Fingerprint]notedCrash)
	}
	b.seq++
	news := false
	for _, e := range entries {
		old, ok := b.crashes[e.Fingerprint]
		if ok && old.entry.Level == e.Level {
			continue
		}
		b.crashes[e.Fingerprint] = notedCrash{e, b.seq}
		news = true
	}
	if news {
		b.wake()
	}
}

func (b *Board) crashesSince(seq uint64, now time.Time) []Crash {
	var out []Crash
	for _, c := range b.crashes {
		if c.seq > seq && now.Before(c.entry.Until) {
			out = append(out, NewCrash(c.entry, now))
		}
	}
	return out
}
