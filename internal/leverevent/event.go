// Package leverevent keeps the time line of events of one process and its
// counters. The time lines of several processes merge into one order, because
// each event carries a hybrid clock's stamp that travels with peer messages.
package leverevent

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// Stamp is a hybrid logical clock reading in microseconds since the Unix
// epoch. An event that happens after the receipt of a message has a larger
// stamp than the sending of that message, also when clocks differ.
type Stamp int64

// Time returns the stamp as a time.
func (s Stamp) Time() time.Time { return time.UnixMicro(int64(s)).UTC() }

// Kind names what happened, in kebab case.
type Kind string

// The kinds of event.
const (
	Started        Kind = "started"
	Ready          Kind = "ready"
	NotReady       Kind = "not-ready"
	Stopping       Kind = "stopping"
	Stopped        Kind = "stopped"
	ConfigInForce  Kind = "config-in-force"
	ConfigAccepted Kind = "config-accepted"
	ConfigRejected Kind = "config-rejected"
	ConfigUnknown  Kind = "config-unknown"
	IndexInForce   Kind = "index-in-force"
	IndexRemoved   Kind = "index-removed"
	ListChanged    Kind = "vm-list-changed"
	PeerDown       Kind = "peer-down"
	PeerUp         Kind = "peer-up"
	PeerLeaving    Kind = "peer-leaving"
	UpstreamDown   Kind = "upstream-down"
	UpstreamUp     Kind = "upstream-up"
	QueryShort     Kind = "query-short"
	QueryRestarted Kind = "query-restarted"
	CrashSuspect   Kind = "crash-suspect"
	CrashBarred    Kind = "crash-barred"
	CrashCleared   Kind = "crash-cleared"
	ClaimConflict  Kind = "claim-conflict"
	StoreDown      Kind = "store-down"
	StoreUp        Kind = "store-up"
	Frozen         Kind = "frozen"
	Panic          Kind = "panic"
)

// Event is one entry of the time line.
type Event struct {
	Stamp   Stamp        `json:"stamp" msgpack:"s"`
	VM      leverid.VMID `json:"vm" msgpack:"v"`
	Kind    Kind         `json:"kind" msgpack:"k"`
	Subject string       `json:"subject,omitempty" msgpack:"u"`
	Detail  string       `json:"detail,omitempty" msgpack:"d"`
}

// defaultCapacity is the number of events kept when Capacity is zero.
const defaultCapacity = 4096

// Line is the time line of one process: a ring of the latest events. The zero
// value keeps 4096 events. It is safe for concurrent use.
type Line struct {
	// VM is written into each event.
	VM leverid.VMID
	// Capacity is the number of events kept. It must not change after the
	// first event.
	Capacity int

	mu     sync.Mutex
	clock  Stamp
	events []Event
	next   int
}

// Add records an event and returns its stamp.
func (l *Line) Add(kind Kind, subject, detail string) Stamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := Event{Stamp: l.tick(), VM: l.VM, Kind: kind, Subject: subject, Detail: detail}
	l.push(e)
	return e.Stamp
}

// Stamp returns a new stamp to send with a message.
func (l *Line) Stamp() Stamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tick()
}

// maxSkew bounds how far a peer's stamp may push the clock ahead.
const maxSkew = Stamp(time.Hour / time.Microsecond)

// Observe moves the clock past a stamp that came with a message. A stamp more
// than an hour ahead of the local clock is ignored.
func (l *Line) Observe(s Stamp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s > Stamp(time.Now().UnixMicro())+maxSkew {
		return
	}
	l.clock = max(l.clock, s)
}

func (l *Line) tick() Stamp {
	l.clock = max(l.clock+1, Stamp(time.Now().UnixMicro()))
	return l.clock
}

func (l *Line) push(e Event) {
	limit := cmp.Or(l.Capacity, defaultCapacity)
	if len(l.events) < limit {
		l.events = append(l.events, e)
		return
	}
	l.events[l.next] = e
	l.next = (l.next + 1) % limit
}

// Since returns the events kept whose stamp is larger than after, in order.
func (l *Line) Since(after Stamp) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	for _, e := range l.events {
		if e.Stamp > after {
			out = append(out, e)
		}
	}
	Sort(out)
	return out
}

// Sort puts events of several processes into one order: by stamp, then by VM.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.VM, b.VM))
	})
}
