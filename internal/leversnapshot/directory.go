package leversnapshot

import (
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
)

// demotionPeriod is how long new queries start at an older version after an
// upstream lacked the newest one.
const demotionPeriod = time.Second

// indexEntry is the index of one service. If demotedTo is not 0, new queries
// start at that version until demotedUntil.
type indexEntry struct {
	index        *Index
	demotedTo    leverid.IndexVersion
	demotedUntil time.Time
}

// Directory stores the indexes of all services. The zero value is empty and
// ready to use. It is safe for concurrent use.
type Directory struct {
	mu      sync.RWMutex
	entries map[leverid.ServiceID]indexEntry
}

// Set replaces the index of a service, unless the newest version of x is lower
// than that of the current index. It reports whether x was installed.
func (d *Directory) Set(x *Index) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.entries[x.Service]
	if ok && old.index.Newest().Version > x.Newest().Version {
		return false
	}
	if d.entries == nil {
		d.entries = make(map[leverid.ServiceID]indexEntry)
	}
	d.entries[x.Service] = indexEntry{index: x}
	return true
}

// Remove deletes the index of a service. It reports whether there was one.
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

// Services returns the number of services that have an index.
func (d *Directory) Services() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.entries)
}

// Upstream returns an upstream that the index of a service lists.
func (d *Directory) Upstream(s leverid.ServiceID, id leverid.UpstreamID) (Upstream, bool) {
	x, err := d.Index(s)
	if err != nil {
		return Upstream{}, false
	}
	return x.Upstream(id)
}

// Pin is the version of an index that a query runs against.
type Pin struct {
	Index *Index
	Map   Map
}

// Pin returns the version at which a new query starts, which is v if v is not
// 0. It returns a NotFound error if the service or that version is unknown.
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
	if e.demotedTo != 0 && now.Before(e.demotedUntil) {
		if m, ok := e.index.Map(e.demotedTo); ok {
			return Pin{e.index, m}, nil
		}
	}
	return Pin{e.index, e.index.Newest()}, nil
}

// Demote makes new queries of a service start at version v for
// demotionPeriod.
func (d *Directory) Demote(s leverid.ServiceID, v leverid.IndexVersion, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[s]
	if !ok {
		return
	}
	e.demotedTo = v
	e.demotedUntil = now.Add(demotionPeriod)
	d.entries[s] = e
}
