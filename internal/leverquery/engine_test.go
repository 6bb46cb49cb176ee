package leverquery_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverquery"
	"arbutuslever.dev/lever/internal/leverroute"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/matryer/is"
)

// around is what an engine needs besides its dispatcher.
type around struct{ settings leverquery.Settings }

func (around) Live(time.Time) []levermsg.VM                                   { return []levermsg.VM{{ID: "vm"}} }
func (a around) Service(leverid.ServiceID) leverquery.Settings                { return a.settings }
func (around) Claim(context.Context, leverclaim.ID, leverclaim.Nonce) error   { return nil }
func (around) Release(context.Context, leverclaim.ID, leverclaim.Nonce) error { return nil }
func (around) Trial(leverid.Fingerprint) (levercrash.Level, leverid.UpstreamID) {
	return levercrash.Clear, ""
}
func (around) Reset(levercrash.Reset) levercrash.Level   { return levercrash.Clear }
func (around) Pass(leverid.Fingerprint)                  {}
func (around) Good(leverid.Fingerprint, leverid.ShardID) {}
func (around) Settle(context.Context)                    {}
func (around) Home(leverid.ServiceID, leverid.UpstreamID, leverid.Domain, []levermsg.VM) leverid.VMID {
	return "vm"
}

// sent is one batch that was dispatched.
type sent struct {
	batch     levermsg.Batch
	sink      func(levermsg.Result)
	withdrawn []leverid.AttemptID
}

// Withdraw notes the attempts.
func (s *sent) Withdraw(ids []leverid.AttemptID) { s.withdrawn = append(s.withdrawn, ids...) }

// script keeps batches for the test to answer.
type script struct{ batches chan *sent }

func (s *script) Dispatch(_ context.Context, _ leverid.VMID, b *levermsg.Batch, sink func(levermsg.Result)) leverquery.Call {
	one := &sent{batch: *b, sink: sink}
	s.batches <- one
	return one
}

func engine(t *testing.T, set leverquery.Settings) (*leverquery.Engine, *script) {
	t.Helper()
	x, err := leversnapshot.ParseIndex([]byte(`{"service": "s", "upstreams": [
		{"id": "a0", "address": "a", "slots": 1, "connections": 1}, {"id": "a1", "address": "a", "slots": 1, "connections": 1},
		{"id": "b0", "address": "a", "slots": 1, "connections": 1}, {"id": "b1", "address": "a", "slots": 1, "connections": 1}],
		"maps": [{"version": 6, "shards": [{"replicas": ["a0", "a1"]}, {"replicas": ["b0", "b1"]}]},
			{"version": 7, "shards": [{"replicas": ["a0", "a1"]}, {"replicas": ["b0", "b1"]}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	d := &leversnapshot.Directory{}
	d.Set(x)
	out := &script{batches: make(chan *sent, 16)}
	w := around{settings: set}
	return &leverquery.Engine{
		Self: "vm", Timer: &levertimer.Service{}, Counters: &leverevent.Counters{}, Events: &leverevent.Line{},
		Directory: d, Settings: w, Replicas: leverroute.NewReplicas("", 1), Router: w, Members: w, Dispatcher: out,
		Claims: w, Crashes: w,
	}, out
}

type ending struct {
	answer *leverquery.Answer
	err    error
}

// query runs a request in the background.
func query(e *leverquery.Engine, once bool) chan ending {
	done := make(chan ending, 1)
	go func() {
		r := &leverquery.Request{Service: "s", ID: "r", Deadline: time.Now().Add(time.Second), Once: once, Key: "k"}
		a, err := e.Run(context.Background(), r)
		done <- ending{a, err}
	}()
	return done
}

func ok(it levermsg.Item, v leverid.IndexVersion, keys ...string) levermsg.Result {
	r := levermsg.Result{Attempt: it.Attempt, Version: v, Run: leverid.MayHaveRun}
	for _, k := range keys {
		r.Records = append(r.Records, levermsg.Record{Key: k, Revision: uint64(v)})
	}
	return r
}

// warm gives the hedger enough latencies to begin.
func warm(e *leverquery.Engine, s *script) {
	for range 40 {
		done := query(e, false)
		b := <-s.batches
		for _, it := range b.batch.Items {
			b.sink(ok(it, 7))
		}
		<-done
	}
}

// TestMergedRecordsAreKept gets a message of a home whose first result is of a
// shard that a hedge has answered, and which carries the records of both.
func TestMergedRecordsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, s := engine(t, leverquery.Settings{Retry: "unbounded", Hedge: "quantile", HedgeQuantile: 0.9, LeastCoverage: 0.5})
		warm(e, s)
		done := query(e, false)
		first, hedges := <-s.batches, <-s.batches
		is.Equal(len(hedges.batch.Items), 2)
		hedges.sink(ok(hedges.batch.Items[0], 7, "shard-0"))
		synctest.Wait()
		first.sink(ok(first.batch.Items[0], 7, "shard-0", "shard-1"))
		first.sink(ok(first.batch.Items[1], 7))
		end := <-done
		is.NoErr(end.err)
		is.Equal(len(end.answer.Records), 2)
		is.Equal(end.answer.Coverage.Covered, 2)
		is.Equal(len(hedges.withdrawn), 1) // the loser is withdrawn
	})
}

// TestOneRestart lets the newest version be missing, then the next one too.
func TestOneRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, s := engine(t, leverquery.Settings{Retry: "unbounded", LeastCoverage: 0.5})
		done := query(e, false)
		stale := func(b *sent) {
			for _, it := range b.batch.Items {
				b.sink(levermsg.Result{Attempt: it.Attempt, Outcome: levermsg.NotYet, Oldest: 5, Newest: 6})
			}
		}
		stale(<-s.batches)
		stale(<-s.batches) // the other replicas
		again := <-s.batches
		is.Equal(again.batch.Query.Version, leverid.IndexVersion(6))
		again.sink(ok(again.batch.Items[0], 6, "x"))
		again.sink(levermsg.Result{Attempt: again.batch.Items[1].Attempt, Outcome: levermsg.Gone, Oldest: 8, Newest: 9})
		last := <-s.batches
		last.sink(levermsg.Result{Attempt: last.batch.Items[0].Attempt, Outcome: levermsg.Gone, Oldest: 8, Newest: 9})
		end := <-done
		is.NoErr(end.err)
		is.Equal(end.answer.Snapshot, leverid.IndexVersion(6))
		is.Equal(end.answer.Coverage.Missing, []leverid.ShardID{1})
		is.Equal(len(s.batches), 0) // no second restart
	})
}

// TestOnceIsNeverRepeated checks each end of the one attempt.
func TestOnceIsNeverRepeated(t *testing.T) {
	cases := map[string]struct {
		outcome levermsg.Outcome
		run     leverid.RunState
		again   bool
	}{
		"reset":              {levermsg.Reset, leverid.MayHaveRun, false},
		"timed out":          {levermsg.TimedOut, leverid.MayHaveRun, false},
		"failed midway":      {levermsg.Failed, leverid.MayHaveRun, false},
		"mismatch":           {levermsg.Mismatch, leverid.MayHaveRun, false},
		"home lost after":    {levermsg.HomeLost, leverid.MayHaveRun, false},
		"home never reached": {levermsg.HomeLost, leverid.NotRun, true},
		"draining":           {levermsg.Draining, leverid.NotRun, true},
		"nobody listens":     {levermsg.Unreachable, leverid.NotRun, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e, s := engine(t, leverquery.Settings{Retry: "unbounded", Hedge: "quantile", HedgeQuantile: 0.9})
				warm(e, s)
				done := query(e, true)
				b := <-s.batches
				is.Equal(len(b.batch.Items), 1)
				time.Sleep(500 * time.Millisecond) // never hedged
				is.Equal(len(s.batches), 0)
				b.sink(levermsg.Result{Attempt: b.batch.Items[0].Attempt, Outcome: c.outcome, Run: c.run})
				synctest.Wait()
				is.Equal(len(s.batches), map[bool]int{true: 1}[c.again])
				if c.again {
					next := <-s.batches
					next.sink(ok(next.batch.Items[0], 7))
				}
				end := <-done
				is.Equal(end.err == nil, c.again)
				var r *leverquery.Refusal
				if errors.As(end.err, &r) {
					is.Equal(r.Run, leverid.MayHaveRun)
				}
			})
		})
	}
}
