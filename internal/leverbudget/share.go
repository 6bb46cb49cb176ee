package leverbudget

import "time"

// shares holds the shares of one VM over the last window and lease.
//
// A VM may use the smallest share that it had in this time. Then all extra attempts
// of a window were allowed by the shares that the VMs had at its start, and a share
// that a VM gives up is used by no other one while the window holds what it
// allowed.
//
// In its first window and lease a VM may use only startFraction of that, because
// the previous process may have used up the share and because other VMs may not know
// this one yet. The slack covers both if a VM restarts at most once per window and
// the fleet at most doubles in it. A VM that has started together with its whole fleet
// has the share after the lease, in which it has learned of the others.
type shares struct {
	// changes holds the shares in order of time.
	changes []change
	// renewed is when the share was last set.
	renewed time.Time
	// founding is whether the VM has started together with its whole fleet.
	founding bool
}

type change struct {
	at    time.Time
	share float64
}

// set sets the share. After a time without a valid one, it is the first share, as
// after a start: the fleet may have changed meanwhile.
func (s *shares) set(share float64, now time.Time, lease, window time.Duration) {
	if s.lapsed(now, lease) {
		s.changes = nil
	}
	s.renewed = now
	if n := len(s.changes); n == 0 || s.changes[n-1].share != share {
		s.changes = append(s.changes, change{now, share})
	}
	for len(s.changes) > 1 && now.Sub(s.changes[1].at) >= window+lease {
		s.changes = s.changes[1:]
	}
}

func (s *shares) lapsed(now time.Time, lease time.Duration) bool {
	return lease > 0 && now.Sub(s.renewed) > lease
}

// usable returns the fraction of the slack that may be used.
func (s *shares) usable(now time.Time, lease, window time.Duration) float64 {
	if len(s.changes) == 0 || s.lapsed(now, lease) {
		return 0
	}
	least := s.changes[0].share
	for _, c := range s.changes[1:] {
		if now.Sub(c.at) >= window+lease {
			least = c.share
		} else {
			least = min(least, c.share)
		}
	}
	switch age := now.Sub(s.changes[0].at); {
	case age < startDelay:
		return 0
	case age < window+lease && !s.foundingShare(lease):
		return startFraction * least
	}
	return slackFraction * least
}

// foundingShare reports whether the fleet has started together and the last share was
// set late enough to count all of its VMs.
func (s *shares) foundingShare(lease time.Duration) bool {
	return s.founding && s.renewed.Sub(s.changes[0].at) >= lease
}
