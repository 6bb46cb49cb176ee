package leverrank

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// maxReturn is the longest time after which a refused request is told to return. It is
	// longer than a flood of 8 s, as what a flood has left over takes time, too.
	maxReturn = 12 * time.Second
	// minReturn is the shortest one.
	minReturn = 20 * time.Millisecond
	// returnTolerance is how much earlier a request may return, for the precision of
	// callers' timers.
	returnTolerance = 20 * time.Millisecond
	// returnGrace is how much later it may return and still go first.
	returnGrace = time.Second
	// maxReturns bounds the refused requests that are remembered.
	maxReturns = 4096
	// returnWeight is the weight of one request in the average fraction that returns, which
	// must not follow single bursts. initialReturns is that fraction before any is known.
	returnWeight   = 0.01
	initialReturns = 0.5
	// spreadFraction is the fraction of maxReturn by which requests without a promise
	// are told to return at different times.
	spreadFraction = 0.5
)

// contentKey identifies a request that was refused.
type contentKey struct {
	organisation leverid.OrganisationID
	content      leverid.Fingerprint
}

// promise is the time at which a refused request is admitted if it returns.
type promise struct {
	due time.Time
	// tokens are reserved in the account. They are less than the request's work because
	// some requests don't return.
	tokens time.Duration
}

// returns remembers the refused requests of one rank. The zero value is ready to use.
type returns struct {
	promises map[contentKey]promise
	// missed is the average fraction of the refused requests that don't return, less
	// what it is at first.
	missed float64
}

func (r *Request) key() contentKey { return contentKey{r.Organisation, r.Content} }

// early returns how long before its time a refused request has returned, or 0.
func (s *returns) early(r *Request, now time.Time) time.Duration {
	p, ok := s.promises[r.key()]
	if !ok || !now.Before(p.due.Add(-returnTolerance)) {
		return 0
	}
	return p.due.Sub(now)
}

// take removes the promise of a request that has returned in time, and reports whether
// there was one.
func (s *returns) take(r *Request, a *account) bool {
	p, ok := s.promises[r.key()]
	if !ok {
		return false
	}
	delete(s.promises, r.key())
	a.promised = max(a.promised-p.tokens, 0)
	s.missed += returnWeight * (initialReturns - 1 - s.missed)
	return true
}

// fraction returns the expected fraction of the refused requests that return.
func (s *returns) fraction() float64 { return initialReturns - s.missed }

// promise returns when a refused request is to return, and reserves tokens for it.
func (s *returns) promise(r *Request, a *account, now time.Time) time.Duration {
	wait := max(a.wait(r.Work), minReturn)
	if wait > maxReturn || len(s.promises) >= maxReturns {
		return time.Duration((1 - spreadFraction*contentFraction(r.Content)) * float64(maxReturn))
	}
	if s.promises == nil {
		s.promises = make(map[contentKey]promise)
	}
	// Two requests with the same content may both be declined by upstreams.
	a.promised = max(a.promised-s.promises[r.key()].tokens, 0)
	tokens := time.Duration(s.fraction() * r.Work * float64(time.Second))
	a.promised += tokens
	s.promises[r.key()] = promise{due: now.Add(wait), tokens: tokens}
	return wait
}

// contentFraction returns a number in [0, 1) that depends on the content only.
func contentFraction(f leverid.Fingerprint) float64 {
	return float64(leverid.Hash(f.String())>>11) / (1 << 53)
}

// expire drops the promises to requests that have not returned.
func (s *returns) expire(accounts map[leverid.OrganisationID]*account, now time.Time) {
	for key, p := range s.promises {
		if now.Before(p.due.Add(returnGrace)) {
			continue
		}
		delete(s.promises, key)
		s.missed += returnWeight * (initialReturns - s.missed)
		if a := accounts[key.organisation]; a != nil {
			a.promised = max(a.promised-p.tokens, 0)
		}
	}
}
