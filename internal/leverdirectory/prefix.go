package leverdirectory

import "slices"

// prefixes finds the routes of one host. The cost of a search depends on how many
// lengths of prefixes there are, and not on how many routes.
type prefixes struct {
	routes map[string]*Route
	// lengths are those of the prefixes in routes, the longest first.
	lengths []int
}

// add adds a route. Of routes with the same prefix, the first one applies.
func (p *prefixes) add(r *Route) {
	if p.routes[r.Prefix] != nil {
		return
	}
	p.routes[r.Prefix] = r
	i, ok := slices.BinarySearchFunc(p.lengths, len(r.Prefix), func(have, n int) int { return n - have })
	if !ok {
		p.lengths = slices.Insert(p.lengths, i, len(r.Prefix))
	}
}

// find returns the route with the longest prefix of a path, or nil.
func (p *prefixes) find(path string) *Route {
	for _, n := range p.lengths {
		if n > len(path) {
			continue
		}
		if r := p.routes[path[:n]]; r != nil {
			return r
		}
	}
	return nil
}
