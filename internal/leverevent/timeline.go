// Package leverevent records the events and counters of one process. Events
// carry hybrid logical clock stamps, which peers exchange with their messages,
// so that the events of several processes can be merged into causal order.
package leverevent

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// Stamp is a reading of a hybrid logical clock, in microseconds since the Unix
// epoch. An event after the receipt of a message has a larger stamp than the
// message, even if the clocks of the two VMs differ.
type Stamp int64

// Time converts s to a time in UTC.
func (s Stamp) Time() time.Time { return time.UnixMicro(int64(s)).UTC() }

// Kind is the type of an event, in kebab case.
type Kind string

// Event kinds.
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
	ListChanged    Kind = "vm-list-changed" // the platform's list of VMs
	PeerDown       Kind = "peer-down"
	PeerUp         Kind = "peer-up"
	PeerLeaving    Kind = "peer-leaving"
	UpstreamDown   Kind = "upstream-down"
	UpstreamUp     Kind = "upstream-up"
	QueryShort     Kind = "query-short"     // an answer without some of the shards
	QueryRestarted Kind = "query-restarted" // at another snapshot
	CrashSuspect   Kind = "crash-suspect"   // tried on one shard first
	CrashBarred    Kind = "crash-barred"    // refused
	CrashCleared   Kind = "crash-cleared"
	ClaimConflict  Kind = "claim-conflict" // the request id was claimed before
	StoreDown      Kind = "store-down"
	StoreUp        Kind = "store-up"
	Frozen         Kind = "frozen" // the process was suspended
	Panic          Kind = "panic"
)

// Event is one entry of a timeline.
type Event struct {
	Stamp Stamp        `json:"stamp" msgpack:"s"`
	VM    leverid.VMID `json:"vm" msgpack:"v"`
	Kind  Kind         `json:"kind" msgpack:"k"`
	// Subject is what the event concerns, such as the id of a VM, a service or a
	// patch.
	Subject string `json:"subject,omitempty" msgpack:"u"`
	Detail  string `json:"detail,omitempty" msgpack:"d"`
}

// defaultCapacity is the number of events kept when Capacity is zero.
const defaultCapacity = 4096

// Timeline is a ring buffer of the latest events of one process. The zero value
// keeps 4096 events. It is safe for concurrent use.
type Timeline struct {
	// VM is recorded in each event.
	VM leverid.VMID
	// Capacity is the maximum number of events kept; zero means 4096. It must
	// not change after the first event.
	Capacity int

	mu     sync.Mutex
	clock  Stamp
	events []Event
	// next is the index of the oldest event once the buffer is full.
	next int
}

// Add records an event and returns its stamp.
func (t *Timeline) Add(kind Kind, subject, detail string) Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := Event{Stamp: t.tick(), VM: t.VM, Kind: kind, Subject: subject, Detail: detail}
	t.push(e)
	return e.Stamp
}

// Stamp advances the clock and returns a new stamp to send with a message.
func (t *Timeline) Stamp() Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tick()
}

// maxSkew limits how far a peer's stamp can advance the clock past local time.
const maxSkew = Stamp(time.Hour / time.Microsecond)

// Observe advances the clock to the stamp of a received message, so that later
// stamps are larger. A stamp more than an hour ahead of local time is ignored.
func (t *Timeline) Observe(s Stamp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s > Stamp(time.Now().UnixMicro())+maxSkew {
		return
	}
	t.clock = max(t.clock, s)
}

func (t *Timeline) tick() Stamp {
	t.clock = max(t.clock+1, Stamp(time.Now().UnixMicro()))
	return t.clock
}

func (t *Timeline) push(e Event) {
	limit := cmp.Or(t.Capacity, defaultCapacity)
	if len(t.events) < limit {
		t.events = append(t.events, e)
		return
	}
	t.events[t.next] = e
	t.next = (t.next + 1) % limit
}

// Since returns the kept events with a stamp larger than after, in the order of
// their stamps.
func (t *Timeline) Since(after Stamp) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Event
	for _, e := range t.events {
		if e.Stamp > after {
			out = append(out, e)
		}
	}
	Sort(out)
	return out
}

// Sort sorts events of several processes by stamp, then by VM.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.VM, b.VM))
	})
}
