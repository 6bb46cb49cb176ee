package levercrash

import (
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// evidenceTTL is how long a reset counts as evidence. A request that crashes
	// upstreams may come back rarely.
	evidenceTTL = 10 * time.Minute
	// successTTL is how long a response counts as evidence against a crash by
	// the request.
	successTTL = 5 * time.Second
	// suspectResets is the number of different runs of upstreams that must have reset
	// a request before it is suspect.
	suspectResets = 2
	// maxEvidence bounds the number of fingerprints with evidence; the oldest one is
	// evicted.
	maxEvidence = 4096
	// aliveWindow is how long after a reset a response of the same run shows that the
	// upstream has not crashed. Later, a new run may answer at its address.
	aliveWindow = 2 * time.Second
	// expireInterval is the minimum time between two searches for expired evidence.
	expireInterval = time.Second
)

// Reset is a connection that closed after the request was sent, without a
// response.
type Reset struct {
	Fingerprint leverid.Fingerprint `msgpack:"f"`
	Service     leverid.ServiceID   `msgpack:"s"`
	Upstream    leverid.UpstreamID  `msgpack:"u"`
	// Born distinguishes runs of the upstream.
	Born  int64           `msgpack:"b"`
	Shard leverid.ShardID `msgpack:"h"`
	// Trial marks the single attempt of a suspect request.
	Trial bool `msgpack:"-"`
}

// run identifies one run of an upstream.
type run struct {
	upstream leverid.UpstreamID
	born     int64
}

// resetRecord is a reset that counts as evidence.
type resetRecord struct {
	at    time.Time
	shard leverid.ShardID
}

// evidence holds the resets of one fingerprint.
type evidence struct {
	resets map[run]resetRecord
	last   Reset
	lastAt time.Time
	// lastSuccess is when an upstream last responded to a request with the
	// fingerprint.
	lastSuccess time.Time
	// reviewDue is set while a review by a Gatherer is due.
	reviewDue bool
}

// suspicious reports whether the resets are unlikely to be ordinary crashes: two
// upstreams reset the request and none has responded to it within successTTL, or
// two replicas of one shard reset it. Resets that have not stood for settle yet do not
// count.
func (e *evidence) suspicious(now time.Time, settle time.Duration) bool {
	perShard, n := make(map[leverid.ShardID]int), 0
	for _, r := range e.resets {
		if age := now.Sub(r.at); age > evidenceTTL || age < settle {
			continue
		}
		n++
		perShard[r.shard]++
		if perShard[r.shard] >= suspectResets {
			return true
		}
	}
	return n >= suspectResets && now.Sub(e.lastSuccess) > successTTL
}

// evidenceSet holds the evidence by fingerprint. The zero value is empty.
type evidenceSet struct {
	evidence map[leverid.Fingerprint]*evidence
	// byRun holds the fingerprints of the requests that each run has reset.
	byRun     map[run]map[leverid.Fingerprint]bool
	expiredAt time.Time
}

func (s *evidenceSet) add(r Reset, now time.Time) *evidence {
	s.expire(now)
	ev := s.evidence[r.Fingerprint]
	if ev == nil {
		if s.evidence == nil {
			s.evidence = make(map[leverid.Fingerprint]*evidence)
		}
		if len(s.evidence) >= maxEvidence {
			s.evictOldest()
		}
		ev = &evidence{resets: make(map[run]resetRecord)}
		s.evidence[r.Fingerprint] = ev
	}
	k := run{r.Upstream, r.Born}
	ev.resets[k] = resetRecord{now, r.Shard}
	ev.last, ev.lastAt = r, now
	if s.byRun == nil {
		s.byRun = make(map[run]map[leverid.Fingerprint]bool)
	}
	if s.byRun[k] == nil {
		s.byRun[k] = make(map[leverid.Fingerprint]bool)
	}
	s.byRun[k][r.Fingerprint] = true
	return ev
}

// alive deletes the resets by a run that has responded to a request sent after them.
// It returns the fingerprints of the requests concerned.
func (s *evidenceSet) alive(k run, sent, now time.Time) []leverid.Fingerprint {
	var cleared []leverid.Fingerprint
	for f := range s.byRun[k] {
		ev := s.evidence[f]
		if ev == nil {
			delete(s.byRun[k], f)
			continue
		}
		r, ok := ev.resets[k]
		switch {
		case !ok:
			delete(s.byRun[k], f)
		case sent.After(r.at) && now.Sub(r.at) <= aliveWindow:
			delete(s.byRun[k], f)
			delete(ev.resets, k)
			cleared = append(cleared, f)
		}
	}
	if len(s.byRun[k]) == 0 {
		delete(s.byRun, k)
	}
	return cleared
}

// good records a response and deletes the evidence of the same shard. It reports
// whether there was some.
func (s *evidenceSet) good(f leverid.Fingerprint, shard leverid.ShardID, now time.Time) bool {
	ev := s.evidence[f]
	if ev == nil {
		return false
	}
	ev.lastSuccess = now
	before := len(ev.resets)
	for k, r := range ev.resets {
		if r.shard == shard {
			delete(ev.resets, k)
		}
	}
	return len(ev.resets) < before
}

func (s *evidenceSet) expire(now time.Time) {
	if since := now.Sub(s.expiredAt); since >= 0 && since < expireInterval {
		return
	}
	s.expiredAt = now
	for f, ev := range s.evidence {
		for k, r := range ev.resets {
			if now.Sub(r.at) > evidenceTTL {
				delete(ev.resets, k)
			}
		}
		if len(ev.resets) == 0 && now.Sub(ev.lastSuccess) > successTTL {
			delete(s.evidence, f)
		}
	}
	for k, fingerprints := range s.byRun {
		for f := range fingerprints {
			if ev := s.evidence[f]; ev == nil || ev.resets[k].at.IsZero() {
				delete(fingerprints, f)
			}
		}
		if len(fingerprints) == 0 {
			delete(s.byRun, k)
		}
	}
}

func (s *evidenceSet) evictOldest() {
	var oldest leverid.Fingerprint
	for f, ev := range s.evidence {
		if oldest == 0 || ev.lastAt.Before(s.evidence[oldest].lastAt) {
			oldest = f
		}
	}
	delete(s.evidence, oldest)
}

// SettleTime is how long evidence of several VMs must stand before it makes a request
// suspect. A VM that has reported a reset of a common request, because an upstream
// crashed, soon reports a response to it.
const SettleTime = time.Second

// NoteDelay is how long a reset must stand without a response, of the upstream or to the
// request, to be noted on all VMs. Reports of responses take up to half a second.
const NoteDelay = aliveWindow + 500*time.Millisecond

// Gatherer combines the evidence of all VMs about the fingerprints of which this VM is
// in charge. The zero value is ready to use. It is safe for concurrent use.
type Gatherer struct {
	mu  sync.Mutex
	set evidenceSet
}

// Add records a reset that a VM has seen. It returns true if a review of the
// fingerprint is due after SettleTime.
func (g *Gatherer) Add(r Reset, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ev := g.set.add(r, now)
	if ev.reviewDue || !ev.suspicious(now, 0) {
		return false
	}
	ev.reviewDue = true
	return true
}

// Forget drops the evidence of a fingerprint: a VM that had reported it has seen a
// response, or a trial has succeeded.
func (g *Gatherer) Forget(f leverid.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.set.evidence, f)
}

// Standing returns the reset of a fingerprint that no response has answered for NoteDelay,
// or false if there is none.
func (g *Gatherer) Standing(f leverid.Fingerprint, now time.Time) (Reset, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ev := g.set.evidence[f]
	if ev == nil {
		return Reset{}, false
	}
	r, ok := ev.resets[run{ev.last.Upstream, ev.last.Born}]
	return ev.last, ok && now.Sub(r.at) >= NoteDelay
}

// Review returns the last reset of a fingerprint, and whether it is still suspicious. If
// again is set, another review is due after SettleTime.
func (g *Gatherer) Review(f leverid.Fingerprint, now time.Time) (last Reset, suspicious, again bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ev := g.set.evidence[f]
	if ev == nil {
		return Reset{}, false, false
	}
	suspicious = ev.suspicious(now, SettleTime)
	ev.reviewDue = !suspicious && ev.suspicious(now, 0)
	return ev.last, suspicious, ev.reviewDue
}
