package leverquery

import (
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverrank"
	"arbutuslever.dev/lever/internal/leverretry"
	"arbutuslever.dev/lever/internal/leversnapshot"
)

// OnShort says what a query does while shards are missing.
type OnShort string

// The choices.
const (
	// Wait for all shards until the deadline.
	Wait OnShort = "wait"
	// AnswerEarly answers at AnswerAfter if the least coverage is reached.
	AnswerEarly OnShort = "answer"
)

// Settings are the parts of a service's configuration that a query needs.
type Settings struct {
	Admission     string
	Floors        leverrank.Floors
	Retry         string
	Hedge         string
	RetryPart     float64
	HedgePart     float64
	HedgeQuantile float64
	LeastCoverage float64
	OnShort       OnShort
	AnswerAfter   time.Duration
	// RunUnclaimed sends a request that is not repeatable although the store
	// can't be reached. Such a request may run twice.
	RunUnclaimed bool
}

// hint is what an upstream's home last said about its room.
type hint struct {
	room levermsg.Room
	at   time.Time
}

const (
	// hintLife is how long a hint counts.
	hintLife = 2 * time.Second
	// digestPeriod is how often the hints are summed up.
	digestPeriod = 25 * time.Millisecond
	// fastestWindow is over how long the fastest answer is remembered.
	fastestWindow = 5 * time.Second
	// fastestPart of the fastest answer is the least time worth a try.
	fastestPart = 0.5
	// upstreamPart bounds the extra attempts at one upstream.
	upstreamPart = 0.25
)

// service is what an engine knows of one service.
type service struct {
	engine   *Engine
	id       leverid.ServiceID
	settings Settings
	admitter leverrank.Admitter
	retries  [leverid.RankCount]leverretry.Budget
	hedges   [leverid.RankCount]leverretry.Budget
	hedger   leverretry.Hedger

	mu        sync.Mutex
	hints     map[leverid.UpstreamID]hint
	digested  time.Time
	upstreams map[leverid.UpstreamID]leverretry.Budget
	full      bool
	least     time.Duration
	lastLeast time.Duration
	leastAt   time.Time
}

// service returns the state of a service, made anew when its policies change.
func (e *Engine) service(id leverid.ServiceID) *service {
	set := e.Settings.Service(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[id]
	if s != nil && s.settings == set {
		return s
	}
	s = newService(e, id, set)
	if e.services == nil {
		e.services = make(map[leverid.ServiceID]*service)
	}
	e.services[id] = s
	return s
}

func newService(e *Engine, id leverid.ServiceID, set Settings) *service {
	s := &service{
		engine: e, id: id, settings: set,
		hints:     make(map[leverid.UpstreamID]hint),
		upstreams: make(map[leverid.UpstreamID]leverretry.Budget),
	}
	s.admitter = &leverrank.OpenAdmitter{}
	if f, err := leverrank.Admitters.Lookup(set.Admission); err == nil {
		s.admitter = f()
	}
	s.hedger = leverretry.NoHedge{}
	if f, err := leverretry.Hedgers.Lookup(set.Hedge); err == nil {
		s.hedger = f(set.HedgeQuantile)
	}
	for r := range s.retries {
		s.retries[r] = s.budget(set.RetryPart)
		s.hedges[r] = s.budget(set.HedgePart)
	}
	return s
}

func (s *service) budget(part float64) leverretry.Budget {
	if f, err := leverretry.Budgets.Lookup(s.settings.Retry); err == nil {
		return f(part)
	}
	return leverretry.None{}
}

// extra reports whether one more attempt at u may be sent, and charges it.
func (s *service) extra(b leverretry.Budget, u leverid.UpstreamID) bool {
	return s.upstream(u).Take() && b.Take()
}

func (s *service) upstream(u leverid.UpstreamID) leverretry.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.upstreams[u]
	if b == nil {
		b = s.budget(upstreamPart)
		s.upstreams[u] = b
	}
	return b
}

// hinted takes in a home's hint.
func (s *service) hinted(u leverid.UpstreamID, room levermsg.Room, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hints[u] = hint{room, now}
}

// saturated reports whether work is refused for want of room.
func (s *service) saturated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full
}

// digest sums the hints up into what the admitter lets in: a shard has the room
// of all its replicas, and a query needs room at every shard.
func (s *service) digest(pin leversnapshot.Pin, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.digested) < digestPeriod {
		return
	}
	s.digested = now
	least := [leverid.RankCount]float32{1, 1, 1}
	for _, shard := range pin.Map.Shards {
		part := s.shardRoom(shard, now)
		for r := range least {
			least[r] = min(least[r], part[r])
		}
	}
	s.full = least != [leverid.RankCount]float32{1, 1, 1}
	s.admitter.Feedback(least, now)
}

// shardRoom returns the fraction of each rank's demand that a shard has room
// for. A replica that nothing is known of has room for everything.
func (s *service) shardRoom(shard leversnapshot.Shard, now time.Time) [leverid.RankCount]float32 {
	var capacity float64
	var demand levermsg.RankRates
	for _, u := range shard.Replicas {
		if s.engine.Replicas.Avoided(u, now) {
			continue
		}
		h, ok := s.hints[u]
		if !ok || now.Sub(h.at) > hintLife {
			return [leverid.RankCount]float32{1, 1, 1}
		}
		capacity += h.room.Capacity
		for r := range demand {
			demand[r] = max(demand[r], h.room.Demand[r])
		}
	}
	if capacity == 0 {
		return [leverid.RankCount]float32{1, 1, 1}
	}
	return leverrank.Fractions(leverrank.Allocate(capacity, demand, s.settings.Floors), demand)
}

// answered remembers the fastest answers of the last seconds.
func (s *service) answered(took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.leastAt) > fastestWindow {
		s.lastLeast = s.least
		s.least = took
		s.leastAt = now
	}
	s.least = min(s.least, took)
}

// fastest returns the least time that an answer can take, zero if unknown.
func (s *service) fastest(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.leastAt) > 2*fastestWindow || s.lastLeast == 0 {
		return 0
	}
	return time.Duration(fastestPart * float64(min(s.least, s.lastLeast)))
}

func (s *service) demand(now time.Time) levermsg.RankRates { return s.admitter.Offered(now) }
