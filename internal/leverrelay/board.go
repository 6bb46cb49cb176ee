// Package leverrelay carries what is in the platform's store from the few VMs
// that watch it to all others, over a tree of peers.
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

// Update is what a parent tells a child.
type Update struct {
	// Epoch and Seq say what the child knows after the update.
	Epoch uint64 `msgpack:"e"`
	Seq   uint64 `msgpack:"q"`
	// Reset says that the update holds everything.
	Reset bool `msgpack:"z"`
	// Path is the way on which the parent is in touch with the store: the VM
	// that watches it, those in between, the parent. It is empty if there is
	// none. A VM that finds itself on it ignores it, so that two VMs that follow
	// each other don't take each other for current.
	Path      []leverid.VMID                  `msgpack:"p"`
	Configs   Change[*leverdirectory.Config]  `msgpack:"f"`
	Upstreams Change[leverdirectory.Upstream] `msgpack:"u"`
	VMs       Change[levermsg.VM]             `msgpack:"v"`
	Crashes   []Crash                         `msgpack:"h"`
}

// Board is what one VM knows of the store. NewBoard makes one. It is safe for
// concurrent use.
type Board struct {
	// The functions take in what changed. They are called one at a time.
	OnConfigs   func([]*leverdirectory.Config)
	OnUpstreams func([]leverdirectory.Upstream)
	OnVMs       func([]levermsg.VM)
	// OnCrashes takes in what a parent tells of contents that crash upstreams,
	// and returns what of it is news.
	OnCrashes func([]levercrash.Entry) []levercrash.Entry

	mu        sync.Mutex
	epoch     uint64
	seq       uint64
	trimmed   uint64
	path      []leverid.VMID
	changed   chan struct{}
	configs   shelf[*leverdirectory.Config]
	upstreams shelf[leverdirectory.Upstream]
	vms       shelf[levermsg.VM]
	crashes   map[leverid.Fingerprint]notedCrash
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	b := &Board{epoch: rand.Uint64()>>1 | 1, changed: make(chan struct{})}
	b.configs.equal = func(x, y *leverdirectory.Config) bool { return x.Version == y.Version }
	b.upstreams.equal = func(x, y leverdirectory.Upstream) bool { return x == y }
	b.vms.equal = func(x, y levermsg.VM) bool { return x == y }
	return b
}

// SetConfigs takes in the store's configurations.
func (b *Board) SetConfigs(items map[string]*leverdirectory.Config, rev leverfeed.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	b.note(b.configs.replace(items, rev, b.seq), false, false)
}

// SetUpstreams takes in the store's entries of upstreams.
func (b *Board) SetUpstreams(items map[string]leverdirectory.Upstream, rev leverfeed.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	first := b.upstreams.slots == nil
	if first {
		b.upstreams.slots = make(map[string]slot[leverdirectory.Upstream])
	}
	b.note(false, b.upstreams.replace(items, rev, b.seq) || first, false)
}

// Upstreams returns the entries of upstreams that are known.
func (b *Board) Upstreams() map[string]leverdirectory.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.upstreams.items()
}

// SetVMs takes in the store's entries of VMs.
func (b *Board) SetVMs(items map[string]levermsg.VM, rev leverfeed.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	b.note(false, false, b.vms.replace(items, rev, b.seq))
}

// Merge takes in a parent's update. Collections that are older than what is
// known are left out.
func (b *Board) Merge(u *Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	configs := b.configs.merge(u.Configs, u.Reset, b.seq)
	first := u.Reset && b.upstreams.slots == nil && u.Upstreams.Revision > 0
	if first {
		b.upstreams.slots = make(map[string]slot[leverdirectory.Upstream])
	}
	upstreams := b.upstreams.merge(u.Upstreams, u.Reset, b.seq) || first
	b.note(configs, upstreams, b.vms.merge(u.VMs, u.Reset, b.seq))
	if len(u.Crashes) > 0 {
		now := time.Now()
		entries := make([]levercrash.Entry, len(u.Crashes))
		for i, c := range u.Crashes {
			entries[i] = c.Entry(now)
		}
		b.addCrashes(b.OnCrashes(entries))
	}
}

// SetPath says on which way this VM is in touch with the store. The last on it
// is this VM; it is empty if there is none.
func (b *Board) SetPath(path []leverid.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(b.path, path) {
		return
	}
	b.path = path
	b.wake()
}

// Current reports whether what is known is up to date, as far as can be told.
func (b *Board) Current() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.path) > 0
}

// note hands on what changed and wakes the children's calls.
func (b *Board) note(configs, upstreams, vms bool) {
	if !configs && !upstreams && !vms {
		return
	}
	b.trimmed = max(b.trimmed, b.configs.trim(), b.upstreams.trim(), b.vms.trim())
	if configs {
		b.OnConfigs(b.configs.values())
	}
	if upstreams {
		b.OnUpstreams(b.upstreams.values())
	}
	if vms {
		b.OnVMs(b.vms.values())
	}
	b.wake()
}

func (b *Board) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Since returns what is new to a child that knows the state of epoch and seq,
// and a channel that is closed at the next change.
func (b *Board) Since(epoch, seq uint64) (*Update, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reset := epoch != b.epoch || seq < b.trimmed
	if reset {
		seq = 0
	}
	return &Update{
		Epoch: b.epoch, Seq: b.seq, Reset: reset, Path: b.path,
		Configs: b.configs.since(seq), Upstreams: b.upstreams.since(seq), VMs: b.vms.since(seq),
		Crashes: b.crashesSince(seq, time.Now()),
	}, b.changed
}
