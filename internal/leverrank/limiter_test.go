package leverrank_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrank"

	"github.com/matryer/is"
)

// fixedRandom returns random numbers that are the same in each run of a test.
func fixedRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// TestLimiter floods services that do one second of work per second and shed
// work when their queues are full: they stay busy, the urgent rank is served,
// and the other ranks keep their floors.
func TestLimiter(t *testing.T) {
	// All in seconds of work: of a request, of a full queue, and of a queue that
	// makes calls slow.
	const (
		work  = 0.01
		queue = 0.14
		slow  = 0.05
	)
	cases := map[string]struct {
		flood leverid.Rank
		// least is the minimum fraction of each rank's offered work that is
		// completed.
		least [leverid.RankCount]float64
	}{
		"routine floods": {leverid.Routine, [leverid.RankCount]float64{0.7, 0.03, 0}},
		"urgent floods":  {leverid.Urgent, [leverid.RankCount]float64{0.03, 0.2, 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := leverrank.Limiter{Random: fixedRandom()}
			now := time.Unix(1000, 0)
			var offered, done [leverid.RankCount]float64
			backlog, refused := 0.0, 0
			for step := range 30000 {
				now = now.Add(time.Millisecond)
				backlog = max(backlog-0.001, 0)
				for _, rank := range leverid.Ranks() {
					every := 50
					if rank == c.flood {
						every = 1
					}
					if step%every != 0 {
						continue
					}
					offered[rank] += work
					if !l.Admit(rank, work, now) {
						refused++
						continue
					}
					if backlog+work > queue {
						continue
					}
					backlog += work
					done[rank] += work
					l.Observe(0, 1, work, backlog > slow, now)
				}
			}
			total := 0.0
			for rank, least := range c.least {
				total += done[rank]
				if fraction := done[rank] / offered[rank]; fraction < least {
					t.Errorf("rank %d completed %.3f of its work, want at least %.3f", rank, fraction, least)
				}
			}
			is.True(refused > 0)
			if total < 0.5*30 {
				t.Errorf("%.1f of 30 seconds of work were completed", total)
			}
		})
	}
}

// TestLimiterWithoutLoad: without overload, all work is admitted.
func TestLimiterWithoutLoad(t *testing.T) {
	is := is.New(t)
	l := leverrank.Limiter{Random: fixedRandom()}
	now := time.Unix(1000, 0)
	for range 10000 {
		now = now.Add(5 * time.Millisecond)
		is.True(l.Admit(leverid.Bulk, 0.001, now))
		l.Observe(0, 1, 0.001, false, now)
	}
}

// TestLimiterTightestPart floods a service with two parts, one of which has
// less than half the capacity of the other: little more is admitted than that
// part can do.
func TestLimiterTightestPart(t *testing.T) {
	is := is.New(t)
	l := leverrank.Limiter{Random: fixedRandom()}
	now := time.Unix(1000, 0)
	const tight = 4 // of ten requests
	admitted, offered := 0, 0
	for i := range 20000 {
		now = now.Add(time.Millisecond)
		late := i > 10000
		in := l.Admit(leverid.Bulk, 0.005, now)
		if late {
			offered++
		}
		if !in {
			continue
		}
		if late {
			admitted++
		}
		l.Observe(0, 2, 0.005, false, now)
		// The tight part does 400 requests per second.
		if i%10 < tight {
			l.Observe(1, 2, 0.005, false, now)
		} else {
			l.ObserveRefusal(now)
		}
	}
	part := float64(admitted) / float64(offered)
	is.True(part < 0.5)
}

// flood offers 1,000 requests per second to a limiter in front of an upstream
// that queues a few requests and refuses the others.
type flood struct {
	limiter leverrank.Limiter
	now     time.Time
	queue   float64
	// refuseEvery is the number of requests of which the upstream refuses one
	// although its queue has room, or 0.
	refuseEvery int
}

// run lets the upstream complete rate requests per second for d. It returns the
// numbers of admitted and of refused requests.
func (f *flood) run(d time.Duration, rate float64) (admitted, refused int) {
	const (
		work     = 0.0025
		maxQueue = 6
	)
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		f.queue = max(f.queue-rate/1000, 0)
		if !f.limiter.Admit(leverid.Bulk, work, f.now) {
			continue
		}
		admitted++
		if f.queue+1 > maxQueue || f.refuseEvery > 0 && admitted%f.refuseEvery == 0 {
			refused++
			f.limiter.ObserveRefusal(f.now)
			continue
		}
		f.queue++
		f.limiter.Observe(0, 1, work, false, f.now)
	}
	return admitted, refused
}

// TestLimiterRecovers: after three windows in which an upstream refused some
// requests of a flood by chance, the admitted work returns within two seconds to what
// it was. The limit used to rise by 2% per window, which took more than five seconds.
func TestLimiterRecovers(t *testing.T) {
	const capacity = 400
	f := &flood{limiter: leverrank.Limiter{Random: fixedRandom()}, now: time.Unix(1000, 0)}
	completed := func(d time.Duration) float64 {
		admitted, refused := f.run(d, capacity)
		return float64(admitted-refused) / (capacity * d.Seconds())
	}
	completed(20 * time.Second)
	before := completed(10 * time.Second)
	if before < 0.9 {
		t.Errorf("in a steady flood, %.2f of the capacity is used, want at least 0.9", before)
	}
	f.refuseEvery = 5
	completed(750 * time.Millisecond)
	f.refuseEvery = 0
	completed(2 * time.Second)
	if after := completed(time.Second); after < 0.9*before {
		t.Errorf("in the third second after the refusals, %.2f of the capacity is used, want at least 0.9 of the %.2f before", after, before)
	}
}

// TestLimiterLostCapacity: after an upstream has lost half of its capacity for
// good, it refuses few of the requests that are admitted.
func TestLimiterLostCapacity(t *testing.T) {
	f := &flood{limiter: leverrank.Limiter{Random: fixedRandom()}, now: time.Unix(1000, 0)}
	f.run(20*time.Second, 400)
	f.run(time.Second, 200)
	if admitted, refused := f.run(5*time.Second, 200); refused*20 > admitted {
		t.Errorf("%d of %d admitted requests were refused after the loss, want at most 5%%", refused, admitted)
	}
}
