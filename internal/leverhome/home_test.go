package leverhome_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverhome"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverrank"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/matryer/is"
)

// world is a home's surroundings: one upstream that takes 10 ms.
type world struct {
	mu        sync.Mutex
	upstream  leversnapshot.Upstream
	level     levercrash.Level
	addresses []string
	ranks     []leverid.Rank
	busy      int
	most      int
}

func (w *world) Do(ctx context.Context, u leversnapshot.Upstream, q *levermsg.Query, it levermsg.Item) levermsg.Result {
	w.mu.Lock()
	w.addresses = append(w.addresses, u.Address)
	w.ranks = append(w.ranks, q.Rank)
	w.busy++
	w.most = max(w.most, w.busy)
	w.mu.Unlock()
	t := time.NewTimer(10 * time.Millisecond)
	defer t.Stop()
	out := levermsg.Result{Attempt: it.Attempt, Run: leverid.MayHaveRun}
	select {
	case <-t.C:
	case <-ctx.Done():
		out.Outcome = levermsg.Withdrawn
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
	return out
}

func (w *world) Upstream(leverid.ServiceID, leverid.UpstreamID) (leversnapshot.Upstream, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstream, w.upstream.ID != ""
}

func (*world) Policy(leverid.ServiceID) leverhome.Policy {
	return leverhome.Policy{Limit: "adaptive", Floors: leverrank.Floors{0, 0.2, 0.07}}
}
func (w *world) Level(leverid.Fingerprint) levercrash.Level { return w.level }
func (*world) Reset(levercrash.Reset) levercrash.Level      { return levercrash.Clear }
func (*world) BeginTrial(leverid.Fingerprint) bool          { return true }
func (*world) EndTrial(leverid.Fingerprint)                 {}
func (*world) Pass(leverid.Fingerprint)                     {}
func (*world) Good(leverid.Fingerprint, leverid.ShardID)    {}

func newHome() (*leverhome.Home, *world) {
	w := &world{upstream: leversnapshot.Upstream{ID: "u", Address: "first", Slots: 2}}
	return &leverhome.Home{
		Timer: &levertimer.Service{}, Counters: &leverevent.Counters{}, Client: w, Directory: w, Crashes: w,
	}, w
}

// batch is n attempts of one rank with a deadline.
func batch(first, n int, r leverid.Rank, deadline time.Duration) *levermsg.Batch {
	b := &levermsg.Batch{Query: levermsg.Query{Service: "s", Rank: r, Deadline: time.Now().Add(deadline)}}
	for i := range n {
		b.Items = append(b.Items, levermsg.Item{Attempt: leverid.AttemptID(first + i), Upstream: "u"})
	}
	return b
}

// results collects the ends of attempts.
type results struct {
	mu  sync.Mutex
	all map[leverid.AttemptID]levermsg.Result
	n   int
}

func (r *results) sink(res levermsg.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = make(map[leverid.AttemptID]levermsg.Result)
	}
	r.all[res.Attempt] = res
	r.n++
}

func (r *results) get(id leverid.AttemptID) levermsg.Result { return r.snapshot()[id] }

func (r *results) snapshot() map[leverid.AttemptID]levermsg.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.all)
}

func (r *results) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// seen is what the upstream has seen.
type seen struct {
	addresses []string
	ranks     []leverid.Rank
	most      int
}

func (w *world) snapshot() seen {
	w.mu.Lock()
	defer w.mu.Unlock()
	return seen{slices.Clone(w.addresses), slices.Clone(w.ranks), w.most}
}

func (w *world) set(u leversnapshot.Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstream = u
}

func TestSlotsAndRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, w := newHome()
		var r results
		h.Start(t.Context(), batch(0, 10, leverid.Bulk, time.Minute), r.sink)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		h.Start(t.Context(), batch(100, 4, leverid.Urgent, time.Minute), r.sink)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(r.count(), 14) // each attempt ends once
		is.Equal(w.snapshot().most, 2)
		is.Equal(fmt.Sprint(w.snapshot().ranks[2:6]), "[urgent urgent urgent urgent]") // urgent work passes what waits
	})
}

func TestHopelessWorkIsShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, w := newHome()
		var r results
		h.Start(t.Context(), batch(0, 200, leverid.Routine, 100*time.Millisecond), r.sink)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(r.count(), 200)
		shed := 0
		for _, res := range r.snapshot() {
			if res.Outcome == levermsg.Shed || res.Outcome == levermsg.Expired {
				is.Equal(res.Run, leverid.NotRun)
				shed++
			}
		}
		is.Equal(shed+len(w.snapshot().ranks), 200)
		is.True(len(w.snapshot().ranks) <= 22) // two slots, 100 ms
	})
}

func TestWithdraw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, _ := newHome()
		var r results
		run := h.Start(t.Context(), batch(0, 4, leverid.Routine, time.Minute), r.sink)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		run.Withdraw([]leverid.AttemptID{0, 3, 99})
		synctest.Wait()
		is.Equal(r.get(0).Outcome, levermsg.Withdrawn)
		is.Equal(r.get(0).Run, leverid.MayHaveRun) // it ran
		is.Equal(r.get(3).Outcome, levermsg.Withdrawn)
		is.Equal(r.get(3).Run, leverid.NotRun) // it waited
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(r.count(), 4)
	})
}

func TestUpstreamMovesAndGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, w := newHome()
		var r results
		h.Start(t.Context(), batch(0, 1, leverid.Routine, time.Minute), r.sink)
		time.Sleep(time.Second)
		synctest.Wait()
		w.set(leversnapshot.Upstream{ID: "u", Address: "second", Slots: 3})
		h.Start(t.Context(), batch(10, 9, leverid.Routine, time.Minute), r.sink)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(w.snapshot().addresses[0], "first")
		is.Equal(w.snapshot().addresses[1], "second")
		is.Equal(w.snapshot().most, 3) // the new slots
		w.set(leversnapshot.Upstream{})
		h.Forget()
		h.Start(t.Context(), batch(20, 1, leverid.Routine, time.Minute), r.sink)
		is.Equal(r.get(20).Outcome, levermsg.Unreachable)
		is.Equal(r.get(20).Run, leverid.NotRun)
	})
}

func TestBarredWorkIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, w := newHome()
		w.level = levercrash.Suspect
		var r results
		h.Start(t.Context(), batch(0, 1, leverid.Routine, time.Minute), r.sink)
		is.Equal(r.get(0).Outcome, levermsg.Barred)
		trial := batch(1, 1, leverid.Routine, time.Minute)
		trial.Query.Trial = true
		h.Start(t.Context(), trial, r.sink)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(r.get(1).Outcome, levermsg.OK)
	})
}
