package leverdirectory

import (
	"iter"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// Upstream is one run of an upstream process, from its start to its end.
type Upstream struct {
	ID      leverid.UpstreamID
	Service leverid.ServiceID
	Address string
	Domain  leverid.Domain
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int
	// Draining upstreams accept no new requests.
	Draining bool
	// ColdFor is how much longer the upstream is slow after its start, counted
	// from when the entry was written.
	ColdFor time.Duration
	// ColdEntry distinguishes entries that state the same ColdFor. It is 0 if ColdFor is.
	ColdEntry int64 `msgpack:",omitempty"`
	// Born distinguishes runs under the same ID.
	Born int64
}

// Key identifies one run of an upstream at one address.
type Key struct {
	ID      leverid.UpstreamID
	Address string
	Born    int64
}

// Key returns the key of this run.
func (u *Upstream) Key() Key { return Key{ID: u.ID, Address: u.Address, Born: u.Born} }

// View is a snapshot of the configuration and the upstreams. It must not be
// modified.
type View struct {
	// Config is nil until the first configuration is known.
	Config *Config
	// UpstreamsLoaded means that the list of upstreams was read at least once.
	UpstreamsLoaded bool

	byService map[leverid.ServiceID][]*Upstream
	byKey     map[Key]*Upstream
	evacuations
	// levelsAwaited is set while the crash levels have to be read before requests are
	// routed.
	levelsAwaited bool
}

// Upstreams returns the upstreams of a service that accept new requests and are in no
// evacuated failure domain.
func (v *View) Upstreams(s leverid.ServiceID) []*Upstream { return v.byService[s] }

// All returns all listed upstreams, including draining ones.
func (v *View) All() iter.Seq[*Upstream] { return maps.Values(v.byKey) }

// Contains reports whether an upstream is listed, including draining ones.
func (v *View) Contains(k Key) bool { return v.byKey[k] != nil }

// Usable reports whether requests can be routed by this View.
func (v *View) Usable() bool {
	return v.Config != nil && v.UpstreamsLoaded && !v.awaited && !v.levelsAwaited
}

// Directory holds the current View. The zero value is an empty Directory. It is
// safe for concurrent use.
type Directory struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
	// OnChange, if set before the first use, is called after each change.
	OnChange func(v *View)
}

// View returns the current View.
func (d *Directory) View() *View {
	if v := d.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// SetConfig puts a configuration in force and returns true. It returns false for
// one that is not newer than the current one, because a VM never reverts to an
// older version.
func (d *Directory) SetConfig(c *Config) bool {
	d.mu.Lock()
	old := d.View()
	if old.Config != nil && c.Version <= old.Config.Version {
		d.mu.Unlock()
		return false
	}
	d.setConfigAndUnlock(c)
	return true
}

// ReplaceConfig puts a configuration in force that is composed of objects, none
// of which ever reverts to an older version. A version lower than the current
// one is raised to it.
func (d *Directory) ReplaceConfig(c *Config) {
	d.mu.Lock()
	if old := d.View().Config; old != nil {
		c.Version = max(c.Version, old.Version)
	}
	d.setConfigAndUnlock(c)
}

// setConfigAndUnlock must be called with the lock held and releases it.
func (d *Directory) setConfigAndUnlock(c *Config) {
	old := d.View()
	c.index()
	next := *old
	next.Config = c
	d.storeAndUnlock(&next)
}

// SetUpstreams replaces the list of upstreams.
func (d *Directory) SetUpstreams(list []Upstream) {
	byKey := make(map[Key]*Upstream, len(list))
	for i := range list {
		byKey[list[i].Key()] = &list[i]
	}
	d.mu.Lock()
	next := *d.View()
	next.UpstreamsLoaded, next.listed, next.byKey = true, list, byKey
	next.indexServices()
	d.storeAndUnlock(&next)
}

// AwaitLevels sets whether no View is usable because the crash levels of contents are not
// known yet. It reports whether that was so before.
func (d *Directory) AwaitLevels(await bool) bool {
	d.mu.Lock()
	next := *d.View()
	before := next.levelsAwaited
	next.levelsAwaited = await
	d.storeAndUnlock(&next)
	return before
}

// storeAndUnlock must be called with the lock held and releases it before
// OnChange.
func (d *Directory) storeAndUnlock(v *View) {
	d.view.Store(v)
	d.mu.Unlock()
	if d.OnChange != nil {
		d.OnChange(v)
	}
}
