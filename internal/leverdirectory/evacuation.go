package leverdirectory

import (
	"maps"
	"slices"

	"arbutuslever.dev/lever/internal/leverid"
)

// evacuations is the part of a View that says which failure domains are evacuated. The
// zero value stands for none.
type evacuations struct {
	evacuated map[leverid.Domain]bool
	// listed are the upstreams from which the index is made again when a failure domain
	// is evacuated.
	listed []Upstream
	// withdrawn holds the services that have upstreams in evacuated failure domains and
	// no others that accept requests.
	withdrawn map[leverid.ServiceID]bool
	// awaited is set while the evacuations have to be read before requests are routed.
	awaited bool
}

// Evacuated reports whether a failure domain is evacuated, so that its upstreams get no
// more requests.
func (v *View) Evacuated(d leverid.Domain) bool { return v.evacuated[d] }

// EvacuatedDomains returns the evacuated failure domains in ascending order.
func (v *View) EvacuatedDomains() []leverid.Domain { return slices.Sorted(maps.Keys(v.evacuated)) }

// AnyWithdrawn reports whether Withdrawn may return true for any service.
func (v *View) AnyWithdrawn() bool { return len(v.withdrawn) > 0 }

// Withdrawn reports whether a service takes no requests because its upstreams are in
// evacuated failure domains.
func (v *View) Withdrawn(s leverid.ServiceID) bool { return v.withdrawn[s] }

// indexServices groups the upstreams that accept new requests by service.
func (v *View) indexServices() {
	v.byService = make(map[leverid.ServiceID][]*Upstream)
	v.withdrawn = make(map[leverid.ServiceID]bool)
	for i := range v.listed {
		u := &v.listed[i]
		// The entries of the list are those of byKey, which Contains returns.
		switch {
		case v.evacuated[u.Domain]:
			v.withdrawn[u.Service] = true
		case !u.Draining:
			v.byService[u.Service] = append(v.byService[u.Service], u)
		}
	}
	maps.DeleteFunc(v.withdrawn, func(s leverid.ServiceID, _ bool) bool { return len(v.byService[s]) > 0 })
}

// AwaitEvacuations sets whether no View is usable until SetEvacuated has been called.
// It reports whether that was so before.
func (d *Directory) AwaitEvacuations(await bool) bool {
	d.mu.Lock()
	next := *d.View()
	before := next.awaited
	next.awaited = await
	d.storeAndUnlock(&next)
	return before
}

// SetEvacuated replaces the evacuated failure domains. It returns those that have been
// added and those that are evacuated no longer.
func (d *Directory) SetEvacuated(domains []leverid.Domain) (added, lifted []leverid.Domain) {
	set := make(map[leverid.Domain]bool, len(domains))
	for _, domain := range domains {
		set[domain] = true
	}
	d.mu.Lock()
	old := d.View()
	next := *old
	next.evacuated, next.awaited = set, false
	next.indexServices()
	d.storeAndUnlock(&next)
	for domain := range set {
		if !old.evacuated[domain] {
			added = append(added, domain)
		}
	}
	for domain := range old.evacuated {
		if !set[domain] {
			lifted = append(lifted, domain)
		}
	}
	slices.Sort(added)
	slices.Sort(lifted)
	return added, lifted
}
