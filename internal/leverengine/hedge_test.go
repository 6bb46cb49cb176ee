package leverengine_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"

	"github.com/matryer/is"
)

// timedSender answers calls after the time that took returns for each.
type timedSender struct {
	took func(s leverid.ServiceID, first bool) time.Duration
	// sent holds, by shard, when calls were sent.
	sent map[leverid.ServiceID][]time.Time
}

func (s *timedSender) Send(t leverpool.Target, _ *leverpool.Call, _ func() http.Header, checkHead func(*http.Response) error, done func(*leverpool.Reply, error)) leverengine.Exchange {
	id := t.Upstream.Service
	took := s.took(id, len(s.sent[id]) == 0)
	s.sent[id] = append(s.sent[id], time.Now())
	h := http.Header{"X-Request-Id": {"1"}, "Signature": {string(id)}}
	time.AfterFunc(took, func() {
		if err := checkHead(&http.Response{StatusCode: http.StatusOK, Header: h}); err != nil {
			done(nil, err)
			return
		}
		done(&leverpool.Reply{Status: http.StatusOK, Header: h, Body: record(string(id))}, nil)
	})
	return endedExchange{}
}

// TestThirdAttempt runs a fan-out of which the first two attempts at one part are not
// answered. A route that allows three attempts must get a third one for just that part.
func TestThirdAttempt(t *testing.T) {
	for attempts, missing := range map[int]int{2: 1, 3: 0} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &timedSender{took: func(leverid.ServiceID, bool) time.Duration { return 7 * time.Millisecond }}
			e := branchEngine(nil, nil)
			e.Sender, e.Brancher = s, nil
			c := *e.Directory.View().Config
			c.Version, c.Routes = 2, []leverdirectory.Route{c.Routes[0]}
			c.Routes[0].MaxAttempts = attempts
			e.Directory.SetConfig(&c)
			var list []leverdirectory.Upstream
			for _, id := range c.Routes[0].Shards {
				for k := range 3 {
					list = append(list, leverdirectory.Upstream{ID: leverid.UpstreamID(fmt.Sprint(id, "-", k)), Service: id, Slots: 2})
				}
			}
			e.Directory.SetUpstreams(list)
			for range 60 {
				s.sent = make(map[leverid.ServiceID][]time.Time)
				e.Run(t.Context(), request(0, nil))
				time.Sleep(time.Second)
			}
			s.sent = make(map[leverid.ServiceID][]time.Time)
			s.took = func(id leverid.ServiceID, _ bool) time.Duration {
				if id == "s3" && len(s.sent[id]) < 2 {
					return 500 * time.Millisecond
				}
				return 7 * time.Millisecond
			}
			out := e.Run(t.Context(), request(0, nil))
			is.Equal(out.Missing, missing)
			is.Equal(out.Hedged, attempts-1)
			time.Sleep(time.Second)
		})
	}
}

// TestHedgeTimes runs a fan-out after many with uneven times. A part that is later than
// the others must get its hedge early enough for the objective. If most parts are late,
// this VM is probably slow, and early hedges would only add to its work.
func TestHedgeTimes(t *testing.T) {
	usual := func(r *rand.Rand) time.Duration {
		d := 7 * math.Exp(0.35*r.NormFloat64())
		if r.Float64() < 0.05 {
			d *= 8
		}
		return time.Duration(d * float64(time.Millisecond))
	}
	cases := map[string]struct {
		took     func(s leverid.ServiceID, first bool) time.Duration
		from, to time.Duration
		hedged   int
	}{
		"one late": {func(s leverid.ServiceID, first bool) time.Duration {
			if s == "s3" && first {
				return 200 * time.Millisecond
			}
			return 7 * time.Millisecond
		}, 8 * time.Millisecond, 15 * time.Millisecond, 1},
		"all late": {func(leverid.ServiceID, bool) time.Duration { return 60 * time.Millisecond }, 16 * time.Millisecond, 45 * time.Millisecond, branchShards},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := rand.New(rand.NewPCG(1, 1))
				s := &timedSender{took: func(leverid.ServiceID, bool) time.Duration { return usual(r) }}
				e := branchEngine(nil, nil)
				e.Sender, e.Brancher = s, nil
				for range 60 {
					s.sent = make(map[leverid.ServiceID][]time.Time)
					e.Run(t.Context(), request(0, nil))
					time.Sleep(time.Second)
				}
				s.sent, s.took = make(map[leverid.ServiceID][]time.Time), c.took
				started := time.Now()
				out := e.Run(t.Context(), request(0, nil))
				is.Equal(out.Hedged, c.hedged)
				for _, sent := range s.sent {
					if len(sent) > 1 {
						at := sent[1].Sub(started)
						is.True(at >= c.from)
						is.True(at <= c.to)
					}
				}
				time.Sleep(time.Second)
			})
		})
	}
}
