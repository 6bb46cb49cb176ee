package leverallow

import (
	"math"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// A pool with a sum of votes above majority has all of the limits, one below
	// minority nothing, and one between them its part.
	majority = 2.0 / 3
	minority = 1.0 / 3
	// tolerance covers rounding of sums of votes.
	tolerance = 1e-9
	// fractionSteps is the number of steps of a pool's fraction. Each change costs a
	// pass over the pool's buckets.
	fractionSteps = 64
)

// fraction returns the part of the limits that a pool may use. The sum over pools of
// disjoint votes is at most 1.
func fraction(sum float64) float64 {
	switch {
	case sum > majority+tolerance:
		return 1
	case sum < minority-tolerance:
		return 0
	}
	return math.Floor(sum*fractionSteps) / fractionSteps
}

// vote is the vote of one VM, lent to this manager until a time of its steady clock.
type vote struct {
	weight float64
	until  time.Time
	// gift is set until the vote has given its part of the handover tokens.
	gift bool
	// first says that the VM may have lent the vote to another manager since this one
	// last had it.
	first bool
}

// pool holds the votes of one group of organisations and their buckets. Its methods
// need calls in order of time.
type pool struct {
	terms Terms
	votes map[leverid.VMID]vote
	sum   float64
	// expiry is not later than the first end of a vote.
	expiry time.Time
	// ended holds the votes that have ended since the last change.
	ended []leverid.VMID
	// fraction of the limits is in force since the last change of votes.
	fraction float64
	// at is the time up to which filled counts. filled is the integral of fraction over
	// time in seconds, and gifts the sum of the weights that have given handover
	// tokens, both since the last change of fraction.
	at            time.Time
	filled, gifts float64
	buckets       map[leverid.OrganisationID]*bucket
	// suspension is not nil while the pool waits for votes that ended together.
	suspension *suspension
}

func newPool(t Terms, now time.Time) *pool {
	return &pool{terms: t, votes: make(map[leverid.VMID]vote), at: now, buckets: make(map[leverid.OrganisationID]*bucket)}
}

// advance drops the votes that have ended and fills the buckets. A fraction that has
// fallen counts from the last call, because the time of the fall is not known.
func (p *pool) advance(now time.Time) {
	if !now.Before(p.expiry) {
		p.dropEnded(now)
		p.change(now)
	}
	p.checkSuspension(now)
	if d := now.Sub(p.at); d > 0 {
		p.filled += p.fraction * d.Seconds()
		p.at = now
	}
}

func (p *pool) dropEnded(now time.Time) {
	p.sum, p.expiry = 0, now.Add(time.Hour)
	for id, v := range p.votes {
		if !now.Before(v.until) {
			delete(p.votes, id)
			p.ended = append(p.ended, id)
			continue
		}
		p.sum += v.weight
		if v.until.Before(p.expiry) {
			p.expiry = v.until
		}
	}
}

// lend records a vote. gift says that it may give handover tokens if the pool has not
// had it yet.
func (p *pool) lend(id leverid.VMID, v vote, now time.Time) {
	p.advance(now)
	old, known := p.votes[id]
	v.gift = v.gift && !known || old.gift
	if known && old.until.After(v.until) {
		v.until = old.until
	}
	if p.suspension != nil {
		v.first = p.suspension.isFirst(id, v.first, old, known)
	}
	p.votes[id] = v
	p.sum += v.weight - old.weight
	if v.until.Before(p.expiry) {
		p.expiry = v.until
	}
	p.change(now)
	if v.gift && p.fraction > 0 {
		p.collect(id)
	}
}

// remove removes a vote that its VM takes back.
func (p *pool) remove(id leverid.VMID, now time.Time) {
	p.advance(now)
	if v, ok := p.votes[id]; ok {
		delete(p.votes, id)
		p.sum -= v.weight
		p.change(now)
	}
}

// change sets the fraction by the votes.
func (p *pool) change(now time.Time) {
	ended := p.ended
	p.ended = nil
	f := fraction(p.sum)
	if p.suspension != nil || f == p.fraction {
		return
	}
	if len(ended) > 0 && f <= p.fraction/2 {
		p.suspend(ended, now)
		return
	}
	begins := p.fraction == 0
	p.setFraction(f)
	if !begins {
		return
	}
	for id, v := range p.votes {
		if v.gift {
			p.collect(id)
		}
	}
}

// collect takes the handover tokens of a vote.
func (p *pool) collect(id leverid.VMID) {
	if v := p.votes[id]; v.gift {
		v.gift = false
		p.votes[id] = v
		p.gifts += v.weight
	}
}

// setFraction brings the buckets up to date and limits them to what the new fraction
// allows. An organisation without a bucket counts as one that had no tokens before,
// except for those of the handover.
func (p *pool) setFraction(f float64) {
	gifts := 0.0
	if p.fraction > 0 && f > p.fraction {
		gifts = min(p.gifts, 1)
	}
	for name, b := range p.buckets {
		p.fill(b)
		b.filled, b.gifts = 0, gifts
		b.tokens = min(b.tokens, f*p.terms.capacity(b.limit))
		if f == 0 {
			delete(p.buckets, name)
		}
	}
	p.fraction, p.filled, p.gifts = f, 0, gifts
}

// fill adds the tokens of the time and the gifts since the last call.
func (p *pool) fill(b *bucket) {
	b.tokens += b.limit.Rate*(p.filled-b.filled) + p.terms.handover()*(p.gifts-b.gifts)
	b.filled, b.gifts = p.filled, p.gifts
	b.tokens = min(b.tokens, p.fraction*p.terms.capacity(b.limit))
}

// bucket returns the organisation's bucket, up to date.
func (p *pool) bucket(name leverid.OrganisationID, l Limit) *bucket {
	b := p.buckets[name]
	if b == nil {
		b = &bucket{}
		p.buckets[name] = b
	}
	b.setLimit(l)
	p.fill(b)
	return b
}
