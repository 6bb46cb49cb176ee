package leverengine

import (
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// homesOf returns the regions in which a request may be processed: those that the route,
// the organisation, if there is one, and the VM that has sent the request all allow.
func homesOf(req *Request, route *leverdirectory.Route, o *leverdirectory.Organisation) leverdirectory.Homes {
	homes := req.Homes.And(route.Homes)
	if o != nil {
		homes = homes.And(o.Homes)
	}
	return homes
}

// MayReceive reports whether a request with its body may be sent to another VM.
func (e *Engine) MayReceive(req *Request, vm levermsg.VM) bool {
	return req.Homes.Allow(e.Regions[vm.Domain])
}

// isHome reports whether the request may be sent to an upstream.
func (f *fanout) isHome(u *leverdirectory.Upstream) bool {
	return f.req.Homes == nil || f.req.Homes.Allow(f.engine.Regions[u.Domain])
}

// isOutside reports whether a service has upstreams and none of them is in a home region.
func (f *fanout) isOutside(s leverid.ServiceID) bool {
	if f.req.Homes == nil {
		return false
	}
	all := f.engine.Directory.View().Upstreams(s)
	for _, u := range all {
		if f.isHome(u) {
			return false
		}
	}
	return len(all) > 0
}

// homeBranches returns the branches of a plan whose VMs are in home regions. This VM runs
// the parts of the others.
func (f *fanout) homeBranches(plan []Branch) []Branch {
	if f.req.Homes == nil {
		return plan
	}
	var out []Branch
	for _, b := range plan {
		if f.engine.MayReceive(f.req, b.VM) {
			out = append(out, b)
		}
	}
	return out
}
