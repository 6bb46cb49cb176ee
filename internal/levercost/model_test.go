package levercost_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
)

const (
	shardCount, replicaCount, slotCount = 90, 3, 2
	meanWork                            = 7.5e-3
	workSpread                          = 0.35
	longFraction, longFactor            = 0.01, 5
	pauseEvery, pauseLength             = 2400 * time.Millisecond, 100 * time.Millisecond
	ownDelay, remoteDelay               = 150 * time.Microsecond, 750 * time.Microsecond
)

var speeds = [replicaCount]float64{0.8, 1, 1.3}

// span is a time in which an upstream is slower by a factor, or responds with
// failures.
type span struct {
	from, to time.Duration
	factor   float64
	fails    bool
}

// server simulates one upstream. It pauses at regular intervals, in which it finishes
// no work.
type server struct {
	mu      sync.Mutex
	start   time.Time
	speed   float64
	pauseAt time.Duration
	spans   []span
	random  *rand.Rand
	running int
	waiting []func()
}

// submit runs done once the work is done, with whether the upstream fails.
func (s *server) submit(done func(fails bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == slotCount {
		s.waiting = append(s.waiting, func() { s.begin(done) })
		return
	}
	s.begin(done)
}

func (s *server) begin(done func(fails bool)) {
	s.running++
	at := time.Since(s.start)
	fails, factor := s.condition(at)
	work := factor * meanWork / s.speed * math.Exp(workSpread*s.random.NormFloat64()-workSpread*workSpread/2)
	if s.random.Float64() < longFraction {
		work *= longFactor
	}
	if fails {
		work = 1e-3
	}
	end := s.addPauses(at, time.Duration(work*float64(time.Second)))
	time.AfterFunc(end-at, func() {
		s.mu.Lock()
		s.running--
		var next func()
		if len(s.waiting) > 0 {
			next, s.waiting = s.waiting[0], s.waiting[1:]
			next()
		}
		s.mu.Unlock()
		done(fails)
	})
}

// condition returns whether the upstream fails at a time, and the factor by which it is
// slower.
func (s *server) condition(at time.Duration) (fails bool, factor float64) {
	factor = 1
	for _, p := range s.spans {
		if at >= p.from && at < p.to {
			fails = fails || p.fails
			factor *= p.factor
		}
	}
	return fails, factor
}

// load returns the load that the upstream states.
func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, factor := s.condition(time.Since(s.start))
	return fmt.Sprint(s.running, len(s.waiting), slotCount, int(100*factor))
}

// addPauses returns when work that begins at a time ends.
func (s *server) addPauses(at, work time.Duration) time.Duration {
	for {
		phase := (at + pauseEvery - s.pauseAt) % pauseEvery
		if phase < pauseLength {
			at += pauseLength - phase
			phase = pauseLength
		}
		if left := pauseEvery - phase; work > left {
			at, work = at+left, work-left
			continue
		}
		return at + work
	}
}

// world is the upstreams of a customer with two shapes of load.
type world struct {
	list    []leverdirectory.Upstream
	servers map[leverid.UpstreamID]*server
	// states is set if the upstreams state their load.
	states bool
}

// newWorld returns upstreams that have faults if faulty is set: at a time 15% of them
// become 8 times slower for 8 s, at another 8% are silent or fail for 5 s. All have
// spans in which they are 2.5 times slower for 600 ms.
func newWorld(seed uint64, length time.Duration, faulty bool) *world {
	w := &world{servers: make(map[leverid.UpstreamID]*server)}
	r := rand.New(rand.NewPCG(seed, 0))
	between := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	for i := range shardCount {
		order := r.Perm(replicaCount)
		for k := range replicaCount {
			id := leverid.UpstreamID(fmt.Sprintf("s%d-%d", i, k))
			s := &server{
				start: time.Now(), speed: speeds[order[k]], pauseAt: between(pauseEvery),
				random: rand.New(rand.NewPCG(seed, uint64(i*replicaCount+k+1))),
			}
			for at := between(20 * time.Second); at < length; at += 10*time.Second + between(20*time.Second) {
				s.spans = append(s.spans, span{from: at, to: at + 600*time.Millisecond, factor: 2.5})
			}
			w.servers[id] = s
			w.list = append(w.list, leverdirectory.Upstream{
				ID: id, Service: service(i), Domain: leverid.Domain(fmt.Sprint("d", (i+k)%replicaCount)), Address: string(id), Slots: slotCount,
			})
		}
	}
	const every = 20 * time.Second
	for from := 5 * time.Second; faulty && from < length; from += every {
		for _, s := range w.ordered() {
			if r.Float64() < 0.15 {
				s.spans = append(s.spans, span{from: from, to: from + 8*time.Second, factor: 8})
			}
			silent, fails := from+9*time.Second, r.Float64() < 0.5
			if r.Float64() < 0.08 {
				s.spans = append(s.spans, span{from: silent, to: silent + 5*time.Second, factor: 1000, fails: fails})
			}
		}
	}
	return w
}

// ordered returns the servers in the order of the list.
func (w *world) ordered() []*server {
	var out []*server
	for i := range w.list {
		out = append(out, w.servers[w.list[i].ID])
	}
	return out
}

func service(i int) leverid.ServiceID { return leverid.ServiceID(fmt.Sprint("s", i)) }

// sender is the connections of one VM.
type sender struct {
	world  *world
	domain leverid.Domain

	mu sync.Mutex
	// sent counts the calls, remote those to other domains. last is the number of the
	// last call to each upstream, inFlight the number of calls in progress.
	sent, remote int
	last         map[leverid.UpstreamID]int
	inFlight     map[leverid.UpstreamID]int
	// ended, if set, is called at the end of each call with the path and the result.
	ended func(u *leverdirectory.Upstream, path string, took time.Duration, good bool)
}

type exchange struct {
	once sync.Once
	done func(*leverpool.Reply, error)
}

func (x *exchange) Withdraw() bool { return false }
func (x *exchange) Cancel()        { x.end(nil, leverpool.ErrCanceled) }

func (x *exchange) end(r *leverpool.Reply, err error) { x.once.Do(func() { x.done(r, err) }) }

// Send simulates a call.
func (s *sender) Send(t leverpool.Target, call *leverpool.Call, header func() http.Header, checkHead func(*http.Response) error, done func(*leverpool.Reply, error)) leverengine.Exchange {
	u := t.Upstream
	header()
	delay := ownDelay
	s.mu.Lock()
	s.sent++
	s.last[u.ID] = s.sent
	s.inFlight[u.ID]++
	if u.Domain != s.domain {
		s.remote++
		delay = remoteDelay
	}
	s.mu.Unlock()
	began := time.Now()
	x := &exchange{done: func(r *leverpool.Reply, err error) {
		s.mu.Lock()
		s.inFlight[u.ID]--
		if s.ended != nil {
			good := err == nil && r.Status == http.StatusOK || errors.Is(err, leverpool.ErrCanceled)
			s.ended(u, strings.Fields(string(call.Head))[1], time.Since(began), good)
		}
		s.mu.Unlock()
		done(r, err)
	}}
	time.AfterFunc(delay, func() {
		s.world.servers[u.ID].submit(func(fails bool) {
			time.AfterFunc(delay, func() {
				status := http.StatusOK
				if fails {
					status = http.StatusInternalServerError
				}
				h := http.Header{"X-Request-Id": {string(t.Request)}, "Signature": {string(u.ID)}}
				if s.world.states {
					h.Set("Load", s.world.servers[u.ID].load())
				}
				if err := checkHead(&http.Response{StatusCode: status, Header: h}); err != nil {
					x.end(nil, err)
					return
				}
				x.end(&leverpool.Reply{Status: status, Header: h, Body: []byte("0123456789abcdef")}, nil)
			})
		})
	})
	return x
}
