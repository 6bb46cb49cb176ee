package leverrank

import (
	"math"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// activeFor is how long after its last request an organisation counts as active, and
	// forgetAfter when its account is dropped.
	activeFor   = 5 * time.Second
	forgetAfter = 30 * time.Second
	// maxAccounts bounds the organisations with an account. Requests of others are
	// treated as those without an organisation.
	maxAccounts = 4096
	// demandWeight is the weight of a new window in the average demand of an
	// organisation.
	demandWeight = 0.25
	// surgeRequests is the least number of requests in a window that replaces the average
	// demand of an organisation. Most send fewer than one in a window.
	surgeRequests = 3
	// leastServed is the least fraction of an organisation's work that is admitted,
	// relative to the fraction of all work of its rank: no one is served less than half
	// as often as all. It is above 0.5 because what is served lags behind a flood.
	leastServed = 0.57
	// burstTime is the time for which an account saves what its organisation has not
	// used. An account holds burstRequests requests at least, because the time between
	// two requests of a small organisation is longer.
	burstTime     = 500 * time.Millisecond
	burstRequests = 4
	// dueDebt is how many times its most tokens an account may owe for requests that
	// return at the time that they were told, so that they are not refused again.
	dueDebt = 8
	// spareTime is the same for work that no account has used.
	spareTime = 250 * time.Millisecond
	// spareReserve is the time, in seconds, of which the spare work is kept for accounts
	// that have tokens. More of it would leave the upstream idle.
	spareReserve = 0.025
)

// account is the part of a rank's work that one organisation may use.
type account struct {
	organisation leverid.OrganisationID
	// weight is that of the last request, part the one that is used.
	weight, part float64
	// work is that of the last request.
	work float64
	// count and requests are the work and the number of requests that were offered in the
	// current window, demand is the average work per second.
	count    float64
	requests int
	demand   float64
	// rate is the admitted work per second, tokens what is left of it.
	rate, tokens float64
	filled       time.Time
	offered      time.Time
	// promised is the part of the tokens that is reserved for requests that return. It is
	// a whole number, so that the order in which promises expire makes no difference.
	promised time.Duration
}

// shares divides the admitted work of one rank among organisations. The zero value is
// ready to use.
type shares struct {
	accounts map[leverid.OrganisationID]*account
	// order holds the accounts in the order in which they were made, so that sums over
	// them, and decisions, are the same in each replay.
	order []*account
	// active is the number of active organisations.
	active int
	// anonymous is the account of requests without an organisation. Only its demand is
	// used.
	anonymous account
	// grant is the admitted work per second of all organisations, spare what is left of
	// it.
	grant, spare float64
	filled       time.Time
	returns      returns
}

// offer counts offered work and returns the account of an organisation, or nil if there
// is none.
func (s *shares) offer(r *Request, now time.Time) *account {
	a := s.account(r, now)
	if a == nil {
		s.anonymous.add(r.Work)
		return nil
	}
	a.add(r.Work)
	a.weight, a.work = r.Weight, r.Work
	if now.Sub(a.offered) >= activeFor {
		s.active++
	}
	a.offered = now
	return a
}

func (a *account) add(work float64) {
	a.count += work
	a.requests++
}

// account returns the account of an organisation, and makes one that is full if there is
// none yet.
func (s *shares) account(r *Request, now time.Time) *account {
	if r.Organisation == "" {
		return nil
	}
	a := s.accounts[r.Organisation]
	if a != nil || len(s.accounts) >= maxAccounts {
		return a
	}
	if s.accounts == nil {
		s.accounts = make(map[leverid.OrganisationID]*account)
	}
	a = &account{organisation: r.Organisation, filled: now, tokens: burstRequests * r.Work}
	s.accounts[r.Organisation] = a
	s.order = append(s.order, a)
	return a
}

// update ends a window of the given length. grant is the work per second of the rank
// that is admitted, or negative if all is.
func (s *shares) update(grant, seconds float64, now time.Time) {
	s.anonymous.endWindow(seconds)
	s.active = 0
	total := 0.0
	s.order = slices.DeleteFunc(s.order, func(a *account) bool {
		if now.Sub(a.offered) < forgetAfter {
			return false
		}
		delete(s.accounts, a.organisation)
		return true
	})
	for _, a := range s.order {
		a.endWindow(seconds)
		idle := now.Sub(a.offered)
		if idle < activeFor {
			s.active++
		}
		total += a.demand
	}
	s.returns.expire(s.accounts, now)
	if grant < 0 || total == 0 {
		s.grant = 0
		return
	}
	s.fillSpare(now)
	s.grant = grant * total / (total + s.anonymous.demand)
	s.divide(total, now)
}

func (a *account) endWindow(seconds float64) {
	current := a.count / seconds
	if a.requests >= surgeRequests && current > surgeFactor*a.demand {
		a.demand = current
	} else {
		a.demand += demandWeight * (current - a.demand)
	}
	a.count, a.requests = 0, 0
}

// divide sets the rates of the accounts. Each gets its demand or, if that is less, its
// share by weight, but not less than leastServed allows. What nobody demands is shared by
// weight, so that small organisations can send more than on average.
func (s *shares) divide(total float64, now time.Time) {
	served := min(s.grant/total, 1)
	sum := s.setParts()
	level := s.level(served)
	left := s.grant
	for _, a := range s.order {
		a.fill(now)
		a.rate = a.granted(level, served)
		left -= a.rate
	}
	for _, a := range s.order {
		a.rate = max(a.rate+max(left, 0)*a.part/sum, level*a.part)
	}
}

// granted returns the work per second that an organisation gets of its demand at a level
// of work per second and unit of weight.
func (a *account) granted(level, served float64) float64 {
	return min(a.demand, max(level*a.part, leastServed*served*a.demand))
}

// setParts sets the parts of the accounts to their weights, or to the mean of the others
// for those without one, and returns the sum.
func (s *shares) setParts() float64 {
	sum, n := 0.0, 0
	for _, a := range s.order {
		if a.weight > 0 {
			sum += a.weight
			n++
		}
	}
	mean := 1.0
	if n > 0 {
		mean = sum / float64(n)
	}
	sum = 0
	for _, a := range s.order {
		if a.part = a.weight; a.part <= 0 {
			a.part = mean
		}
		sum += a.part
	}
	return sum
}

// levelSteps is the number of steps of the search for the level, each of which halves the
// error.
const levelSteps = 20

// level returns the work per second and unit of weight at which the organisations
// together get the grant, or the greatest that any of them demands if that is less.
func (s *shares) level(served float64) float64 {
	low, high := 0.0, 0.0
	for _, a := range s.order {
		high = max(high, a.demand/a.part)
	}
	for range levelSteps {
		middle, sum := (low+high)/2, 0.0
		for _, a := range s.order {
			sum += a.granted(middle, served)
		}
		if sum > s.grant {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// capacity returns the most tokens that an account holds.
func (a *account) capacity() float64 {
	return max(a.rate*burstTime.Seconds(), burstRequests*a.work)
}

func (a *account) fill(now time.Time) {
	a.tokens = min(a.tokens+a.rate*now.Sub(a.filled).Seconds(), a.capacity())
	a.filled = now
}

func (s *shares) fillSpare(now time.Time) {
	most := s.grant * spareTime.Seconds()
	if !s.filled.IsZero() {
		s.spare += s.grant * now.Sub(s.filled).Seconds()
	}
	s.spare, s.filled = max(min(s.spare, most), -most), now
}

// admit decides on a request of the organisation with the account a. due says that the
// request returns at the time that it was told.
func (s *shares) admit(r *Request, a *account, due bool, now time.Time) bool {
	a.fill(now)
	s.fillSpare(now)
	switch {
	case due && a.tokens > -dueDebt*a.capacity():
	case a.tokens-a.promised.Seconds() >= r.Work:
	case s.spare >= r.Work+spareReserve*s.grant:
		// No account has used this work.
		s.spare -= r.Work
		return true
	default:
		return false
	}
	a.tokens -= r.Work
	s.spare -= r.Work
	return true
}

// wait returns the time until the account has tokens for a request after those that were
// promised.
func (a *account) wait(work float64) time.Duration {
	if a.rate <= 0 {
		return math.MaxInt64
	}
	seconds := (work + a.promised.Seconds() - a.tokens) / a.rate
	return time.Duration(min(max(seconds, 0), maxReturn.Seconds()+1) * float64(time.Second))
}
