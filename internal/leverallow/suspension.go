package leverallow

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// suspensionTime is how long a pool waits for votes that ended together. VMs lend them
// again within renewInterval.
const suspensionTime = 300 * time.Millisecond

// suspension is a time in which a pool keeps its buckets and grants nothing, because so
// many votes have ended together that the manager itself or its network was probably at
// a stop. A vote that comes back without having been lent to another manager counts as
// if it had not ended: no other pool had tokens for it meanwhile.
type suspension struct {
	until time.Time
	// fraction was in force before.
	fraction float64
	// ended holds the votes that have not come back.
	ended map[leverid.VMID]bool
}

func (p *pool) suspend(ended []leverid.VMID, now time.Time) {
	p.suspension = &suspension{until: now.Add(suspensionTime), fraction: p.fraction, ended: make(map[leverid.VMID]bool)}
	for _, id := range ended {
		p.suspension.ended[id] = true
	}
	for id, v := range p.votes {
		v.first = false
		p.votes[id] = v
	}
	p.fraction = 0
}

// isFirst reports whether a vote that is lent counts as a new one in this suspension.
func (s *suspension) isFirst(id leverid.VMID, first bool, old vote, known bool) bool {
	if known {
		return old.first || first
	}
	first = first || !s.ended[id]
	delete(s.ended, id)
	return first
}

// checkSuspension ends the suspension when enough votes are back, or after its time. The
// buckets keep what the votes allow that have not been lent to another manager.
func (p *pool) checkSuspension(now time.Time) {
	s := p.suspension
	if s == nil || now.Before(s.until) && fraction(p.sum) < s.fraction {
		return
	}
	kept := 0.0
	for _, v := range p.votes {
		if !v.first {
			kept += v.weight
		}
	}
	p.suspension = nil
	p.fraction = s.fraction
	if f := fraction(kept); f < s.fraction {
		p.setFraction(f)
	}
	p.change(now)
}
