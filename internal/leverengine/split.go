package leverengine

import (
	"sync"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
)

// splitter distributes the requests of each route over its targets by smooth
// weighted round-robin. The zero value is ready to use. It is safe for
// concurrent use.
type splitter struct {
	mu     sync.Mutex
	credit map[string]map[leverid.ServiceID]float64
}

// next returns the target that is furthest below its share of the requests.
func (s *splitter) next(r *leverdirectory.Route) leverid.ServiceID {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil {
		s.credit = make(map[string]map[leverid.ServiceID]float64)
	}
	credit := s.credit[r.Name]
	if credit == nil {
		credit = make(map[leverid.ServiceID]float64)
		s.credit[r.Name] = credit
	}
	total := 0.0
	var best leverid.ServiceID
	for _, t := range r.Targets {
		total += t.Weight
		credit[t.Service] += t.Weight
		if t.Weight > 0 && (best == "" || credit[t.Service] > credit[best]) {
			best = t.Service
		}
	}
	credit[best] -= total
	return best
}
