package leverdirectory

import (
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// Upstream is one start of an upstream process.
type Upstream struct {
	ID      leverid.UpstreamID
	Service leverid.ServiceID
	Address string
	Domain  leverid.Domain
	// Slots is the number of requests that it works on at a time.
	Slots int
	// Draining upstreams take no new requests.
	Draining bool
	// ColdFor is how much longer it is slow after its start, as of when the
	// entry was written.
	ColdFor time.Duration
	// Born tells two starts under one id apart.
	Born int64
}

// Key identifies one start of an upstream at one address.
type Key struct {
	ID      leverid.UpstreamID
	Address string
	Born    int64
}

// Key returns the identity of this start.
func (u *Upstream) Key() Key { return Key{ID: u.ID, Address: u.Address, Born: u.Born} }

// View is what is known at one moment. It must not be changed.
type View struct {
	// Config is nil until the first configuration is known.
	Config *Config
	// UpstreamsKnown says that the list of upstreams was read at least once.
	UpstreamsKnown bool

	byService map[leverid.ServiceID][]*Upstream
	all       map[Key]*Upstream
}

// Upstreams returns the upstreams of a service that take new requests.
func (v *View) Upstreams(s leverid.ServiceID) []*Upstream { return v.byService[s] }

// Known reports whether an upstream is still listed, draining ones included.
func (v *View) Known(k Key) bool { return v.all[k] != nil }

// Usable reports whether requests can be routed by this view.
func (v *View) Usable() bool { return v.Config != nil && v.UpstreamsKnown }

// Directory holds the present view. The zero value knows nothing. It is safe
// for concurrent use.
type Directory struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
	// OnChange, if set before the first use, is called after each change.
	OnChange func(v *View)
}

// View returns the present view.
func (d *Directory) View() *View {
	if v := d.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// SetConfig puts a configuration in force. It returns false for one that is
// not newer than the present one: a VM never goes back.
func (d *Directory) SetConfig(c *Config) bool {
	d.mu.Lock()
	old := d.View()
	if old.Config != nil && c.Version <= old.Config.Version {
		d.mu.Unlock()
		return false
	}
	d.putConfig(c)
	return true
}

// ReplaceConfig puts a configuration in force that was made of parts, each of
// which never goes back. Its version is at least the present one.
func (d *Directory) ReplaceConfig(c *Config) {
	d.mu.Lock()
	if old := d.View().Config; old != nil {
		c.Version = max(c.Version, old.Version)
	}
	d.putConfig(c)
}

// putConfig is called with the lock held and releases it.
func (d *Directory) putConfig(c *Config) {
	old := d.View()
	c.index()
	next := *old
	next.Config = c
	d.swap(&next)
}

// SetUpstreams replaces the list of upstreams.
func (d *Directory) SetUpstreams(list []Upstream) {
	byService := make(map[leverid.ServiceID][]*Upstream)
	all := make(map[Key]*Upstream, len(list))
	for i := range list {
		u := &list[i]
		all[u.Key()] = u
		if !u.Draining {
			byService[u.Service] = append(byService[u.Service], u)
		}
	}
	d.mu.Lock()
	next := *d.View()
	next.UpstreamsKnown, next.byService, next.all = true, byService, all
	d.swap(&next)
}

// swap is called with the lock held and releases it.
func (d *Directory) swap(v *View) {
	d.view.Store(v)
	d.mu.Unlock()
	if d.OnChange != nil {
		d.OnChange(v)
	}
}
