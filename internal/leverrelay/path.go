package leverrelay

import (
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// takeoverTime is the time that a VM needs to read the store once it has begun to
	// watch it.
	takeoverTime = 250 * time.Millisecond
	// maxOutageThreshold bounds the time without a path that counts as an outage: in
	// one that is longer, upstreams' entries expire.
	maxOutageThreshold = time.Second
)

// outageThreshold returns how long a VM must have had no path to the store for an
// outage of the store: longer than another VM takes to replace one that is cut off, also
// if all candidates are.
func (r *Relay) outageThreshold() time.Duration {
	return min(orphanTimeout+maxJitter(r.Members.Len())+takeoverTime, maxOutageThreshold)
}

// maxJitter returns the maximum random time for which a VM that is not a candidate waits
// in addition to orphanTimeout.
func maxJitter(vms int) time.Duration {
	return min(time.Duration(vms)*orphanJitterPerVM, maxOrphanJitter)
}

// path returns this VM's path to the store and records since when there is
// none.
func (r *Relay) path(watching bool) []leverid.VMID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var path []leverid.VMID
	switch {
	case watching && r.StoreCurrent():
		path = []leverid.VMID{r.Self}
	case len(r.parentPath) > 0:
		path = append(slices.Clone(r.parentPath), r.Self)
	case r.orphanSince.IsZero():
		r.orphanSince = r.Timer.Now()
	}
	if path != nil {
		if r.orphanedFor() > r.outageThreshold() {
			r.outageEnd = r.Timer.Now()
		}
		r.orphanSince = time.Time{}
	}
	return path
}

// orphanedFor returns for how long this VM has had no path to the store. The lock must
// be held.
func (r *Relay) orphanedFor() time.Duration {
	if r.orphanSince.IsZero() {
		return 0
	}
	return r.Timer.Now().Sub(r.orphanSince)
}

// OutageEnd returns when the store was back after its last outage: now, if no VM that
// this one knows has had a path to it until now, or zero if there was none. While
// another VM has a path, one that fails to reach the store is cut off from it. All VMs
// learn of a path at about the same time.
func (r *Relay) OutageEnd() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orphanedFor() > r.outageThreshold() {
		return r.Timer.Now()
	}
	return r.outageEnd
}
