// Package leverrelay distributes the contents of the platform's store from the
// few VMs that watch it to all other VMs, over a tree of peers.
package leverrelay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// Update is the message that carries changes from a parent to a child.
type Update struct {
	// Epoch and Seq are the child's position after the update.
	Epoch uint64 `msgpack:"e"`
	Seq   uint64 `msgpack:"q"`
	// Reset means that the update holds the complete collections.
	Reset bool `msgpack:"z"`
	// Path lists the VMs that connect the parent to the store: from the VM that
	// watches the store to the parent itself. It is empty if the parent has no
	// connection. A VM that finds itself on the path ignores it. Otherwise, two
	// VMs that follow each other would each consider the other up to date.
	Path      []leverid.VMID                 `msgpack:"p"`
	Configs   Delta[*leverdirectory.Config]  `msgpack:"f"`
	Upstreams Delta[leverdirectory.Upstream] `msgpack:"u"`
	VMs       Delta[levermsg.VM]             `msgpack:"v"`
	Crashes   []CrashEntry                   `msgpack:"h"`
	// Noted are crash levels that older builds do not know and would take for bars.
	Noted []CrashEntry `msgpack:"o,omitempty"`
	// CrashesKnown means that the parent knows the crash levels that the store holds.
	CrashesKnown bool `msgpack:"n,omitempty"`
	// Evacuations holds the evacuated failure domains. It is nil if the parent does not
	// know them, which does not mean that there are none.
	Evacuations *Delta[leverid.Domain] `msgpack:"x,omitempty"`
	// Packed, if set, is a compressed Update that replaces this one.
	Packed []byte `msgpack:"k,omitempty"`
	// Returned is how long ago the store came back from an older copy, as the parent has
	// seen it, or 0 if it was not lately.
	Returned time.Duration `msgpack:"y,omitempty"`
}

// Mirror is a VM's copy of the store's collections and of the crash levels that
// VMs report. Create one with NewMirror. It is safe for concurrent use.
type Mirror struct {
	// The callbacks receive a complete collection after each change to it. They
	// are called one at a time, with the lock held.
	OnConfigs   func([]*leverdirectory.Config)
	OnUpstreams func([]leverdirectory.Upstream)
	OnVMs       func([]levermsg.VM)
	// OnEvacuations may be nil.
	OnEvacuations func([]leverid.Domain)
	// OnCrashes merges the crash levels that a parent sent and returns the
	// entries that were new.
	OnCrashes func([]levercrash.Entry) []levercrash.Entry
	// OnCrashesKnown, if set, is called once when the crash levels that the store holds
	// are known.
	OnCrashesKnown func()
	// OnEra, if set, is called with the store's era when a collection of a higher one
	// arrives. OnLostVMs, if set, receives the names of VMs whose entries the store of that
	// era lacks, and of those that are back there although they had been removed.
	OnEra     func(leverfeed.Era)
	OnLostVMs func(era leverfeed.Era, lost, removed []string)

	mu sync.Mutex
	// epoch distinguishes this copy from those of other VMs and of earlier
	// processes. seq is the number of its last change.
	epoch uint64
	seq   uint64
	// trimmedSeq is the newest change whose record of a deletion was dropped. A
	// child that is further behind gets the complete collections.
	trimmedSeq uint64
	path       []leverid.VMID
	// pathID changes with path.
	pathID uint64
	// changed is closed, and replaced, at each change.
	changed     chan struct{}
	configs     collection[*leverdirectory.Config]
	upstreams   collection[leverdirectory.Upstream]
	vms         collection[levermsg.VM]
	evacuations collection[leverid.Domain]
	crashes     map[leverid.Fingerprint]crashRecord
	// crashesKnown is set once crashes holds all levels of the store.
	crashesKnown bool
	// era is the highest of all collections, and returnedAt when the store has last come
	// back from an older copy.
	era        leverfeed.Era
	returnedAt time.Time
	// sentEras are the eras of the collections since the epoch began.
	sentEras [4]leverfeed.Era

	encoder encoder
}

// newEpoch returns an epoch. It is not 0, which stands for a child without a position.
func newEpoch() uint64 { return rand.Uint64()>>1 | 1 }

// NewMirror returns an empty copy.
func NewMirror() *Mirror {
	m := &Mirror{epoch: newEpoch(), changed: make(chan struct{})}
	m.configs.rules, m.upstreams.rules, m.vms.rules, m.evacuations.rules = configRules, upstreamRules, vmRules, evacuationRules
	return m
}

// SetConfigs replaces the configurations by those of the store at rev.
func (m *Mirror) SetConfigs(items map[string]*leverdirectory.Config, rev leverfeed.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	m.publish(changes{configs: m.configs.replace(items, rev, m.seq)})
	m.noteEra()
}

// SetUpstreams replaces the upstreams by those of the store at rev. The first
// call reports a change even if the list is empty.
func (m *Mirror) SetUpstreams(items map[string]leverdirectory.Upstream, rev leverfeed.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	first := m.upstreams.init()
	m.publish(changes{upstreams: m.upstreams.replace(items, rev, m.seq) || first})
	m.noteEra()
}

// Upstreams returns the known upstreams by the names of their entries.
func (m *Mirror) Upstreams() map[string]leverdirectory.Upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upstreams.items()
}

// UpstreamsRevision returns the store's revision of the upstreams.
func (m *Mirror) UpstreamsRevision() leverfeed.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upstreams.revision
}

// SetVMs replaces the VMs by those of the store at rev.
func (m *Mirror) SetVMs(items map[string]levermsg.VM, rev leverfeed.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	m.publish(changes{vms: m.vms.replace(items, rev, m.seq)})
	m.noteEra()
}

// Merge applies an update from a parent. Collections of an older revision than
// the local copy are skipped.
func (m *Mirror) Merge(u *Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	c := changes{configs: m.configs.merge(u.Configs, u.Reset, m.seq)}
	first := u.Reset && u.Upstreams.Revision > 0 && m.upstreams.init()
	c.upstreams = m.upstreams.merge(u.Upstreams, u.Reset, m.seq) || first
	c.vms = m.vms.merge(u.VMs, u.Reset, m.seq)
	c.evacuations = m.mergeEvacuations(u)
	m.publish(c)
	m.adoptReturn(u)
	m.noteEra()
	if len(u.Crashes)+len(u.Noted) > 0 {
		m.addCrashes(m.OnCrashes(Entries(time.Now(), u.Crashes, u.Noted)))
	}
	if u.CrashesKnown {
		m.setCrashesKnown()
	}
}

// SetPath sets the VMs that connect this VM to the store, with this VM last. An
// empty path means that there is no connection.
func (m *Mirror) SetPath(path []leverid.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Equal(m.path, path) {
		return
	}
	m.path = path
	m.pathID++
	m.notifyWaiters()
}

// Path returns the VMs that connect this VM to the store.
func (m *Mirror) Path() []leverid.VMID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.path
}

// Current reports whether this VM has a connection to the store, directly or
// through parents. As far as it can tell, its copy is then up to date.
func (m *Mirror) Current() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.path) > 0
}

// changes says which collections have changed.
type changes struct{ configs, upstreams, vms, evacuations bool }

// publish passes the changed collections to the callbacks and wakes the calls
// that serve children.
func (m *Mirror) publish(c changes) {
	if c == (changes{}) {
		return
	}
	m.trimmedSeq = max(m.trimmedSeq, m.configs.trimDeleted(), m.upstreams.trimDeleted(), m.vms.trimDeleted(), m.evacuations.trimDeleted())
	// The evacuations come before the upstreams, so that no upstream is used between the
	// two.
	if c.evacuations && m.OnEvacuations != nil {
		m.OnEvacuations(m.evacuations.values())
	}
	if c.configs {
		m.OnConfigs(m.configs.values())
	}
	if c.upstreams {
		m.OnUpstreams(m.upstreams.values())
	}
	if c.vms {
		m.OnVMs(m.vms.values())
	}
	m.notifyWaiters()
}

func (m *Mirror) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Since returns the changes for a child at the position epoch and seq, and a
// channel that is closed at the next change.
func (m *Mirror) Since(epoch, seq uint64) (*Update, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reset := epoch != m.epoch || seq < m.trimmedSeq
	if reset {
		seq = 0
	}
	crashes, noted := m.crashesSince(seq, time.Now())
	return &Update{
		Epoch: m.epoch, Seq: m.seq, Reset: reset, Path: m.path,
		Configs: m.configs.since(seq), Upstreams: m.upstreams.since(seq), VMs: m.vms.since(seq),
		Returned: m.returnedFor(), Crashes: crashes, Noted: noted, CrashesKnown: m.crashesKnown, Evacuations: m.evacuationsSince(seq),
	}, m.changed
}
