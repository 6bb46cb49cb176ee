package leverengine

import (
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"
	"arbutuslever.dev/lever/internal/leverid"
)

// withdrawnWait is the retry delay suggested to callers if all upstreams of a service
// are in evacuated failure domains. Evacuations last minutes, and their end is not known
// in advance.
const withdrawnWait = time.Second

// Returns limits the requests to upstreams in failure domains whose evacuation has just
// ended. It is safe for concurrent use.
type Returns interface {
	// Update records which failure domains are evacuated.
	Update(evacuated []leverid.Domain, now time.Time)
	// Any reports whether Admits may return false for any upstream.
	Any(now time.Time) bool
	// Admits reports whether a request may be sent to an upstream while others of its
	// service can take it.
	Admits(u *leverdirectory.Upstream, id leverid.RequestID, now time.Time) bool
}

// eligible returns the upstreams of a service that the attempt may be sent to: those with
// room for a request if they are cold. Those in returning failure domains are left out of
// most requests as long as others can take them.
func (f *fanout) eligible(c *candidates, now time.Time) []*leverdirectory.Upstream {
	all := f.engine.Directory.View().Upstreams(c.service)
	if f.engine.anyCold() {
		all = slices.DeleteFunc(slices.Clone(all), func(u *leverdirectory.Upstream) bool { return f.engine.coldWait(u, now) > 0 })
	}
	if f.req.Homes != nil {
		all = slices.DeleteFunc(slices.Clone(all), func(u *leverdirectory.Upstream) bool { return !f.isHome(u) })
	}
	r := f.engine.Returns
	if r == nil || !r.Any(now) {
		return all
	}
	var kept []*leverdirectory.Upstream
	fresh := false
	for _, u := range all {
		if r.Admits(u, f.req.ID, now) {
			kept = append(kept, u)
			fresh = fresh || f.isFresh(c, u, now)
		}
	}
	if !fresh && slices.ContainsFunc(all, func(u *leverdirectory.Upstream) bool { return f.isFresh(c, u, now) }) {
		return all
	}
	return kept
}

// The reasons of requests for which upstreams are known that must not get them. The service
// follows.
const (
	evacuatedReason = "all upstreams are in evacuated failure domains: "
	outsideReason   = "no upstream is in a home region: "
)

// whyBlocked returns the reason why no upstream of a service takes the request.
func (f *fanout) whyBlocked(s leverid.ServiceID) string {
	switch {
	case f.engine.Directory.View().Withdrawn(s):
		return evacuatedReason
	case f.isOutside(s):
		return outsideReason
	}
	return blockedReason
}

// isFresh reports whether an upstream takes requests, can be reached as far as this VM
// knows, and was not tried by earlier attempts.
func (f *fanout) isFresh(c *candidates, u *leverdirectory.Upstream, now time.Time) bool {
	h := f.engine.Health
	return !c.tried(u) && h.Wait(u, now) == 0 && h.Avoidance(u, f.class, now) != leverhealth.AvoidUnreachable
}

// isWithdrawn reports whether the attempt is at an upstream that is listed and takes no
// requests because its failure domain is evacuated. It may still respond.
func (a *attempt) isWithdrawn() bool {
	u, view := a.upstream(), a.fanout.engine.Directory.View()
	return view.Evacuated(u.Domain) && view.Contains(u.Key())
}
