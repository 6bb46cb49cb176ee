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
	Path      []leverid.VMID                  `msgpack:"p"`
	Configs   Change[*leverdirectory.Config]  `msgpack:"f"`
	Upstreams Change[leverdirectory.Upstream] `msgpack:"u"`
	VMs       Change[levermsg.VM]             `msgpack:"v"`
	Crashes   []Crash                         `msgpack:"h"`
}

// Board is a VM's copy of the store's collections and of the crash levels that
// VMs report. NewBoard makes one. It is safe for concurrent use.
type Board struct {
	// The callbacks receive a complete collection after each change to it. They
	// are called one at a time, with the lock held.
	OnConfigs   func([]*leverdirectory.Config)
	OnUpstreams func([]leverdirectory.Upstream)
	OnVMs       func([]levermsg.VM)
	// OnCrashes merges the crash levels that a parent sent and returns the
	// entries that were new.
	OnCrashes func([]levercrash.Entry) []levercrash.Entry

	mu sync.Mutex
	// epoch tells this Board apart from those of other VMs and earlier
	// processes, and seq numbers its changes.
	epoch uint64
	seq   uint64
	// trimmedSeq is the newest change whose record of a deletion was dropped. A
	// child that is further behind gets the complete collections.
	trimmedSeq uint64
	path       []leverid.VMID
	// changed is closed, and replaced, at each change.
	changed   chan struct{}
	configs   collection[*leverdirectory.Config]
	upstreams collection[leverdirectory.Upstream]
	vms       collection[levermsg.VM]
	crashes   map[leverid.Fingerprint]crashRecord
}

// NewBoard returns an empty Board.
func NewBoard() *Board {
	b := &Board{epoch: rand.Uint64()>>1 | 1, changed: make(chan struct{})}
	b.configs.equal = func(x, y *leverdirectory.Config) bool { return x.Version == y.Version }
	b.upstreams.equal = func(x, y leverdirectory.Upstream) bool { return x == y }
	b.vms.equal = func(x, y levermsg.VM) bool { return x == y }
	return b
}

// SetConfigs replaces the configurations by those of the store at rev.
func (b *Board) SetConfigs(items map[string]*leverdirectory.Config, rev leverfeed.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	b.publish(b.configs.replace(items, rev, b.seq), false, false)
}

// SetUpstreams replaces the upstreams by those of the store at rev. The first
// call reports a change even if the list is empty.
func (b *Board) SetUpstreams(items map[string]leverdirectory.Upstream, rev leverfeed.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	first := b.upstreams.byName == nil
	if first {
		b.upstreams.byName = make(map[string]entry[leverdirectory.Upstream])
	}
	b.publish(false, b.upstreams.replace(items, rev, b.seq) || first, false)
}

// Upstreams returns the known upstreams by the names of their entries.
func (b *Board) Upstreams() map[string]leverdirectory.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.upstreams.items()
}

// SetVMs replaces the VMs by those of the store at rev.
func (b *Board) SetVMs(items map[string]levermsg.VM, rev leverfeed.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	b.publish(false, false, b.vms.replace(items, rev, b.seq))
}

// Merge applies an update from a parent. Collections of an older revision than
// the local copy are skipped.
func (b *Board) Merge(u *Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	configs := b.configs.merge(u.Configs, u.Reset, b.seq)
	first := u.Reset && b.upstreams.byName == nil && u.Upstreams.Revision > 0
	if first {
		b.upstreams.byName = make(map[string]entry[leverdirectory.Upstream])
	}
	upstreams := b.upstreams.merge(u.Upstreams, u.Reset, b.seq) || first
	b.publish(configs, upstreams, b.vms.merge(u.VMs, u.Reset, b.seq))
	if len(u.Crashes) > 0 {
		now := time.Now()
		entries := make([]levercrash.Entry, len(u.Crashes))
		for i, c := range u.Crashes {
			entries[i] = c.Entry(now)
		}
		b.addCrashes(b.OnCrashes(entries))
	}
}

// SetPath sets the VMs that connect this VM to the store, with this VM last. An
// empty path means that there is no connection.
func (b *Board) SetPath(path []leverid.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(b.path, path) {
		return
	}
	b.path = path
	b.notifyWaiters()
}

// Current reports whether this VM has a connection to the store, directly or
// through parents. As far as it can tell, its copy is then up to date.
func (b *Board) Current() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.path) > 0
}

// publish passes the changed collections to the callbacks and wakes the calls
// that serve children.
func (b *Board) publish(configs, upstreams, vms bool) {
	if !configs && !upstreams && !vms {
		return
	}
	b.trimmedSeq = max(b.trimmedSeq, b.configs.trimDeleted(), b.upstreams.trimDeleted(), b.vms.trimDeleted())
	if configs {
		b.OnConfigs(b.configs.values())
	}
	if upstreams {
		b.OnUpstreams(b.upstreams.values())
	}
	if vms {
		b.OnVMs(b.vms.values())
	}
	b.notifyWaiters()
}

func (b *Board) notifyWaiters() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Since returns the changes for a child at the position epoch and seq, and a
// channel that is closed at the next change.
func (b *Board) Since(epoch, seq uint64) (*Update, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reset := epoch != b.epoch || seq < b.trimmedSeq
	if reset {
		seq = 0
	}
	return &Update{
		Epoch: b.epoch, Seq: b.seq, Reset: reset, Path: b.path,
		Configs: b.configs.since(seq), Upstreams: b.upstreams.since(seq), VMs: b.vms.since(seq),
		Crashes: b.crashesSince(seq, time.Now()),
	}, b.changed
}
