package leversnapshot

import (
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
)

// demoteTime is how long new queries start at an older version after a query
// found the newest one missing at an upstream.
const demoteTime = time.Second

type entry struct {
	index   *Index
	version leverid.IndexVersion
	until   time.Time
}

// Directory holds the indexes of all services. The zero value is empty and
// ready to use. It is safe for concurrent use.
type Directory struct {
	mu      sync.RWMutex
	entries map[leverid.ServiceID]entry
}

// Set installs an index, unless its newest version is lower than that of the
// index in force. It reports whether it did.
func (d *Directory) Set(x *Index) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.entries[x.Service]
	if ok && old.index.Newest().Version > x.Newest().Version {
		return false
	}
	if d.entries == nil {
		d.entries = make(map[leverid.ServiceID]entry)
	}
	d.entries[x.Service] = entry{index: x}
	return true
}

// Remove takes out a service whose index is gone. It reports whether there was
// one.
func (d *Directory) Remove(s leverid.ServiceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.entries[s]
	delete(d.entries, s)
	return ok
}

// Index returns the index of a service, or a NotFound error.
func (d *Directory) Index(s leverid.ServiceID) (*Index, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.entries[s]
	if !ok {
		return nil, errors.NotFoundf("service %q", s)
	}
	return e.index, nil
}

// Services returns the number of services.
func (d *Directory) Services() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.entries)
}

// Upstream returns an upstream of a service.
func (d *Directory) Upstream(s leverid.ServiceID, id leverid.UpstreamID) (Upstream, bool) {
	x, err := d.Index(s)
	if err != nil {
		return Upstream{}, false
	}
	return x.Upstream(id)
}

// Pin is one version of an index, held by a query.
type Pin struct {
	Index *Index
	Map   Map
}

// Pin returns the version that a new query starts at. A version other than 0
// asks for just that one; the error is NotFound if it can't be queried.
func (d *Directory) Pin(s leverid.ServiceID, v leverid.IndexVersion, now time.Time) (Pin, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.entries[s]
	if !ok {
		return Pin{}, errors.NotFoundf("service %q", s)
	}
	if v != 0 {
		m, ok := e.index.Map(v)
		if !ok {
			return Pin{}, errors.NotFoundf("index version %d of service %q", v, s)
		}
		return Pin{e.index, m}, nil
	}
	if e.version != 0 && now.Before(e.until) {
		if m, ok := e.index.Map(e.version); ok {
			return Pin{e.index, m}, nil
		}
	}
	return Pin{e.index, e.index.Newest()}, nil
}

// Demote makes new queries of a service start at v for a second.
func (d *Directory) Demote(s leverid.ServiceID, v leverid.IndexVersion, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[s]
	if !ok {
		return
	}
	e.version = v
	e.until = now.Add(demoteTime)
	d.entries[s] = e
}
