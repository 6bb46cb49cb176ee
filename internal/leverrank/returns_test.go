package leverrank_test

import (
	"math"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrank"

	"github.com/matryer/is"
)

// steady is a limiter of which two organisations demand more than there is, in a steady
// state.
type steady struct {
	limiter leverrank.Limiter
	now     time.Time
	content leverid.Fingerprint
	backlog float64
}

const steadyWork = 0.0025

// offer sends a request and lets the upstream do what it admits.
func (s *steady) offer(organisation string, content leverid.Fingerprint) leverrank.Admission {
	a := s.limiter.AdmitRequest(&leverrank.Request{Rank: leverid.Bulk, Work: steadyWork, Organisation: leverid.OrganisationID(organisation), Weight: 1, Content: content}, s.now)
	switch {
	case !a.Admitted:
	case s.backlog+steadyWork > queueWork:
		s.limiter.ObserveRefusal(s.now)
	default:
		s.backlog += steadyWork
		s.limiter.Observe(0, 1, steadyWork, s.backlog > slowWork, s.now)
	}
	return a
}

// step offers the usual load of a millisecond: 600 requests per second of a, 100 of b, and
// 400 can be served.
func (s *steady) step() (refused []time.Time) {
	s.now = s.now.Add(time.Millisecond)
	s.backlog = max(s.backlog-0.001, 0)
	s.content++
	if s.content%10 < 6 {
		if a := s.offer("a", s.content); !a.Admitted {
			refused = append(refused, s.now.Add(a.RetryAfter))
		}
	}
	if s.content%10 == 9 {
		s.offer("b", s.content)
	}
	return refused
}

func newSteady() *steady {
	s := &steady{now: time.Unix(1000, 0)}
	for range 20000 {
		s.step()
	}
	return s
}

// TestReturns guards against requests that are refused again when they return at the
// time that they were told, and against callers that gain from returning earlier.
func TestReturns(t *testing.T) {
	is := is.New(t)
	s := newSteady()
	const own = 1 << 40
	tried, due, early := 0, 0, 0
	for i := range 200 {
		content := leverid.Fingerprint(own + i)
		a := s.offer("a", content)
		if a.Admitted {
			s.step()
			continue
		}
		tried++
		is.True(a.RetryAfter > 0)
		end := s.now.Add(a.RetryAfter)
		for s.now.Before(end.Add(-50 * time.Millisecond)) {
			if s.step(); i%2 == 0 && s.offer("a", content).Admitted {
				early++
			}
		}
		for s.now.Before(end) {
			s.step()
		}
		if s.offer("a", content).Admitted {
			due++
		}
	}
	is.True(tried > 100)
	is.Equal(due, tried)
	is.Equal(early, 0)
}

// TestReturnsAreSpread guards against refused requests that all return at once.
func TestReturnsAreSpread(t *testing.T) {
	s := newSteady()
	slots, n := make(map[time.Time]int), 0
	for range 1000 {
		for _, at := range s.step() {
			slots[at.Truncate(50*time.Millisecond)]++
			n++
		}
	}
	for at, count := range slots {
		// 20 can be served in that time.
		if count > 60 {
			t.Errorf("%d of %d refused requests are told to return within 50 ms, at %s", count, n, at)
		}
	}
}

// TestImpatientCallers guards against refused requests that are sent again without a
// pause and take capacity from others, or count as more demand.
func TestImpatientCallers(t *testing.T) {
	const offers = 5000
	served := func(impatient bool) (a, b int) {
		s := newSteady()
		refused := leverid.Fingerprint(0)
		for range offers {
			s.step()
			if s.content%20 == 0 && s.offer("b", s.content+1<<50).Admitted {
				b++
			}
			for range 5 {
				if refused == 0 {
					refused = s.content + 1<<41
				}
				if impatient && s.offer("a", refused).Admitted {
					a++
					refused = 0
				}
			}
		}
		return a, b
	}
	_, before := served(false)
	a, b := served(true)
	if b < before*9/10 || before < offers/20*9/10 {
		t.Errorf("b was served %d of %d requests beside impatient callers of a, which were served %d, and %d without", b, offers/20, a, before)
	}
	if most := offers * 3 / 10; a > most {
		t.Errorf("impatient callers of a were served %d requests, want at most %d", a, most)
	}
}

// TestOneOrganisation guards against other decisions than before for requests without an
// organisation, and while only one is active.
func TestOneOrganisation(t *testing.T) {
	is := is.New(t)
	var before, one leverrank.Limiter
	now := time.Unix(1000, 0)
	admitted := [2]int{}
	for i := range 30000 {
		now = now.Add(time.Millisecond)
		rank := leverid.Rank(i % leverid.RankCount)
		if before.Admit(rank, 0.0025, now) {
			admitted[0]++
		}
		a := one.AdmitRequest(&leverrank.Request{Rank: rank, Work: 0.0025, Organisation: "o", Weight: 3, Content: leverid.Fingerprint(i)}, now)
		if a.Admitted {
			admitted[1]++
		}
		is.Equal(a.RetryAfter, time.Duration(0))
		for _, l := range []*leverrank.Limiter{&before, &one} {
			if i%5 < 2 {
				l.Observe(0, 1, 0.0025, false, now)
			} else {
				l.ObserveRefusal(now)
			}
		}
	}
	is.True(admitted[0] < 20000) // the work is limited
	// The first request after a change may be admitted by chance.
	is.True(math.Abs(float64(admitted[0]-admitted[1])) < 100)
}
