package leverallow

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// vmsPerGroup is the number of VMs for each group of organisations.
	vmsPerGroup = 32
	minGroups   = 3
	maxGroups   = 64
	// maxManagers bounds the managers, because each VM sends messages to all of them:
	// with more, the control traffic of a VM grows with the fleet.
	maxManagers = 3
	// startSilence is how long a process lends no vote after its start. The lease of
	// its predecessor's vote must have ended.
	startSilence = 600 * time.Millisecond
	// JoinSilence is how long a VM that is new in the list lends no vote. The others
	// count it before that, or know that their list may be outdated.
	JoinSilence = 4500 * time.Millisecond
	// listValidity is how long after its last path to the store a VM's list counts as
	// up to date. The rest of JoinSilence covers the time in which the loss of the
	// path is noticed.
	listValidity = 2500 * time.Millisecond
	// doubtTime is how long a process that has been stopped takes its list for outdated.
	// The loss of its path to the store is noticed in less time.
	doubtTime = 2 * time.Second
	// shrinkDelay is how long a VM counts VMs that have left the list. They may lend
	// their votes until they know it.
	shrinkDelay = 5 * time.Second
	// cutOffLimit is how long a VM without a path to the store lends its vote. Later,
	// it may have been removed from the list as unresponsive.
	cutOffLimit = 100 * time.Second
)

// Fleet is what a VM knows of the VMs.
type Fleet struct {
	// Listed is the number of VMs in the list, 0 if this VM is not in it.
	Listed int
	// Current is whether the list is known to be up to date.
	Current bool
	// WasListed is whether the list had this VM for JoinSilence before its process
	// started.
	WasListed bool
	// Ranked holds the live VMs, the most powerful first.
	Ranked []leverid.VMID
	// List holds the IDs of the listed VMs.
	List []leverid.VMID
}

func groupCount(listed int) int {
	return min(max((listed+vmsPerGroup-1)/vmsPerGroup, minGroups), maxGroups)
}

// candidates returns the VMs that may become managers.
func (f *Fleet) candidates() []leverid.VMID {
	return f.Ranked[:min(maxManagers, len(f.Ranked))]
}

// standing is the weight of a VM's vote, by what it has known of the list. Its methods
// need calls in order of time.
type standing struct {
	start time.Time
	// listedSince is when the VM was first in the list without a gap. wasListed says
	// that the list had it when the process started, and there was no gap since.
	listedSince time.Time
	wasListed   bool
	// left is whether the VM has been removed from the list since it started.
	left bool
	// confirmed is when the list was last up to date.
	confirmed time.Time
	// doubtedUntil is until when the list counts as outdated after a pause.
	doubtedUntil time.Time
	// lengths holds the lengths of the list in the last shrinkDelay.
	lengths []lengthChange
}

type lengthChange struct {
	at     time.Time
	listed int
}

func (s *standing) update(f *Fleet, now time.Time) {
	if f.Listed == 0 {
		if !s.listedSince.IsZero() {
			s.listedSince, s.wasListed, s.left = time.Time{}, false, true
		}
		return
	}
	s.wasListed = f.WasListed && !s.left
	if !f.Current {
		return
	}
	if !now.Before(s.doubtedUntil) {
		s.confirmed = now
	}
	if s.listedSince.IsZero() {
		s.listedSince = now
	}
	if n := len(s.lengths); n == 0 || s.lengths[n-1].listed != f.Listed {
		s.lengths = append(s.lengths, lengthChange{now, f.Listed})
	}
	for len(s.lengths) > 1 && now.Sub(s.lengths[1].at) >= shrinkDelay {
		s.lengths = s.lengths[1:]
	}
}

// doubt makes the list count as outdated for a while, because a process that has been
// stopped may not have noticed yet that its path to the store is lost.
func (s *standing) doubt(now time.Time) {
	s.doubtedUntil = now.Add(doubtTime)
	if limit := now.Add(-listValidity - 1); s.confirmed.After(limit) {
		s.confirmed = limit
	}
}

// listed returns the number of VMs by which the weight of the vote is computed, 0 if
// the VM may not lend its vote. unconfirmed is set if the list may be outdated.
func (s *standing) listed(now time.Time) (listed int, unconfirmed bool) {
	if s.listedSince.IsZero() || now.Sub(s.start) < startSilence || now.Sub(s.confirmed) > cutOffLimit {
		return 0, false
	}
	if !s.wasListed && now.Sub(s.listedSince) < JoinSilence {
		return 0, false
	}
	for i, l := range s.lengths {
		if i+1 == len(s.lengths) || now.Sub(s.lengths[i+1].at) < shrinkDelay {
			listed = max(listed, l.listed)
		}
	}
	return listed, now.Sub(s.confirmed) > listValidity
}
