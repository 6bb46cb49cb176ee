package leverquery_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/leverquery"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/leverstore"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/matryer/is"
)

// scriptedRunner returns its outcomes in order and records the requests.
type scriptedRunner struct {
	outcomes []*leverengine.Outcome
	requests []*leverengine.Request
}

func (s *scriptedRunner) Run(_ context.Context, req *leverengine.Request) *leverengine.Outcome {
	s.requests = append(s.requests, req)
	out := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	return out
}

// countingClaimer counts the claims and releases. Each claim returns err.
type countingClaimer struct {
	err               error
	claimed, released int
}

func (c *countingClaimer) Claim(context.Context, leverclaim.ID, leverclaim.Nonce) error {
	c.claimed++
	return c.err
}

func (c *countingClaimer) Release(context.Context, leverclaim.ID, leverclaim.Nonce) error {
	c.released++
	return nil
}

func engine(t *testing.T, s *scriptedRunner, l *countingClaimer) *leverquery.Engine {
	t.Helper()
	index, err := leversnapshot.ParseIndex([]byte(`{"service": "s", "upstreams": [
		{"id": "a0", "address": "a", "slots": 1, "connections": 1}, {"id": "b0", "address": "a", "slots": 1, "connections": 1}],
		"maps": [{"version": 6, "shards": [{"replicas": ["a0"]}, {"replicas": ["b0"]}]},
			{"version": 7, "shards": [{"replicas": ["a0"]}, {"replicas": ["b0"]}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	directory := &leversnapshot.Directory{}
	directory.Set(index)
	return &leverquery.Engine{
		Timer: &levertimer.Service{}, Counters: &leverevent.Counters{}, Events: &leverevent.Timeline{},
		Directory: directory, Runner: s, Claims: l, RunUnclaimed: func(leverid.ServiceID) bool { return false },
	}
}

func runQuery(e *leverquery.Engine, once bool) (*leverquery.Answer, *leverquery.Refusal) {
	req := &leverquery.Request{Service: "s", ID: "r", Deadline: time.Now().Add(time.Second), Once: once, Key: "k"}
	a, err := e.Run(context.Background(), req)
	var refusal *leverquery.Refusal
	errors.As(err, &refusal)
	return a, refusal
}

// records returns the outcome of a fan-out whose shards replied with the given
// bodies. An empty body stands for a missing reply.
func records(bodies ...string) *leverengine.Outcome {
	out := &leverengine.Outcome{Verdict: leverengine.Merged, MaybeRan: true, Attempts: len(bodies)}
	for _, b := range bodies {
		if b == "" {
			out.Parts = append(out.Parts, nil)
			out.Missing++
			continue
		}
		out.Parts = append(out.Parts, []byte(b))
	}
	return out
}

// TestCoverageIsTrue checks the reported coverage when a shard's reply is
// missing, incomplete or malformed.
func TestCoverageIsTrue(t *testing.T) {
	cases := map[string]struct {
		first, second string
		want          leverquery.Coverage
		records       int
	}{
		"whole":    {`{"records": [{"key": "a", "revision": 1}]}`, `{"records": [{"key": "b", "revision": 1}]}`, leverquery.Coverage{Total: 2, Covered: 2}, 2},
		"missing":  {`{"records": [{"key": "a", "revision": 1}]}`, ``, leverquery.Coverage{Total: 2, Covered: 1, Missing: []leverid.ShardID{1}}, 1},
		"partial":  {`{"partial": true, "records": [{"key": "a", "revision": 1}]}`, `{}`, leverquery.Coverage{Total: 2, Covered: 1, Partial: []leverid.ShardID{0}}, 1},
		"not JSON": {`{"rec`, `{}`, leverquery.Coverage{Total: 2, Covered: 1, Missing: []leverid.ShardID{0}}, 0},
		"same key": {`{"records": [{"key": "a", "revision": 1}]}`, `{"records": [{"key": "a", "revision": 2}]}`, leverquery.Coverage{Total: 2, Covered: 2}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, _ := runQuery(engine(t, &scriptedRunner{outcomes: []*leverengine.Outcome{records(c.first, c.second)}}, nil), false)
			is.Equal(a.Coverage, c.want)
			is.Equal(len(a.Records), c.records)
			is.Equal(a.Snapshot, leverid.IndexVersion(7))
		})
	}
}

// TestOneRestart checks that a query is restarted only once: upstreams lack the
// newest version and then also the version of the restart.
func TestOneRestart(t *testing.T) {
	is := is.New(t)
	first := records(`{}`, ``)
	first.Absent = []string{"5-6"}
	second := records(`{"records": [{"key": "x", "revision": 6}]}`, ``)
	second.Absent = []string{"8-9"}
	s := &scriptedRunner{outcomes: []*leverengine.Outcome{first, second}}
	a, _ := runQuery(engine(t, s, nil), false)
	is.Equal(len(s.requests), 2) // no second restart
	is.True(s.requests[0].Path != s.requests[1].Path)
	is.True(a.Restarted)
	is.Equal(a.Snapshot, leverid.IndexVersion(6))
	is.Equal(a.Coverage.Missing, []leverid.ShardID{1})
}

// TestQueryWaitsForTrial checks that a query is sent again until no other query
// with the same content is on trial.
func TestQueryWaitsForTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		trial := &leverengine.Outcome{Verdict: leverengine.NotRun, Cause: leverengine.OnTrial}
		s := &scriptedRunner{outcomes: []*leverengine.Outcome{trial, trial, records(`{}`, `{}`)}}
		a, _ := runQuery(engine(t, s, nil), false)
		is.True(a != nil && len(s.requests) == 3)
	})
}

// TestOnceEnds checks the result of a request that is not repeatable for each
// outcome of its attempt. The claim is released only if no upstream ran it.
func TestOnceEnds(t *testing.T) {
	passed := func(status int) *leverengine.Outcome {
		return &leverengine.Outcome{Verdict: leverengine.Passed, MaybeRan: true, Reply: &leverpool.Reply{Status: status, Body: []byte(`{}`)}}
	}
	cases := map[string]struct {
		outcome  *leverengine.Outcome
		claim    error
		reason   leverquery.Reason
		run      leverid.RunState
		released int
		sent     int
	}{
		"answered":        {outcome: passed(http.StatusOK), sent: 1},
		"failed midway":   {outcome: passed(http.StatusInternalServerError), reason: leverquery.OutcomeUnknown, run: leverid.MayHaveRun, sent: 1},
		"reset":           {outcome: &leverengine.Outcome{Verdict: leverengine.MayHaveRun, MaybeRan: true}, reason: leverquery.OutcomeUnknown, run: leverid.MayHaveRun, sent: 1},
		"late after send": {outcome: &leverengine.Outcome{Verdict: leverengine.Late, MaybeRan: true}, reason: leverquery.OutcomeUnknown, run: leverid.MayHaveRun, sent: 1},
		"not run":         {outcome: &leverengine.Outcome{Verdict: leverengine.NotRun}, reason: leverquery.Unavailable, released: 1, sent: 1},
		"late before":     {outcome: &leverengine.Outcome{Verdict: leverengine.Late}, reason: leverquery.Unavailable, released: 1, sent: 1},
		"claimed before":  {claim: leverclaim.ErrTaken, reason: leverquery.ClaimTaken, run: leverid.MayHaveRun},
		"store down":      {claim: leverstore.ErrUnavailable, reason: leverquery.ClaimFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedRunner{outcomes: []*leverengine.Outcome{c.outcome}}
			l := &countingClaimer{err: c.claim}
			a, refusal := runQuery(engine(t, s, l), true)
			is.Equal(len(s.requests), c.sent)
			is.Equal(l.released, c.released)
			if c.reason == "" {
				is.True(a != nil)
				is.True(s.requests[0].Overrides.Once)
				return
			}
			is.Equal(refusal.Reason, c.reason)
			is.Equal(refusal.Run, c.run)
		})
	}
}

// TestRunUnclaimed sets run-unclaimed. A request whose claim failed is sent only
// if the claim is known not to be stored for lack of the store.
func TestRunUnclaimed(t *testing.T) {
	cases := map[string]struct {
		claim error
		sent  int
	}{
		"store down":      {leverstore.ErrUnavailable, 1},
		"unknown outcome": {leverclaim.ErrIndeterminate, 0},
		"range full":      {leverclaim.ErrFull, 0},
		"claimed before":  {leverclaim.ErrTaken, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedRunner{outcomes: []*leverengine.Outcome{{Verdict: leverengine.NotRun}}}
			e := engine(t, s, &countingClaimer{err: c.claim})
			e.RunUnclaimed = func(leverid.ServiceID) bool { return true }
			_, refusal := runQuery(e, true)
			is.True(refusal != nil)
			is.Equal(len(s.requests), c.sent)
		})
	}
}
