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

// script answers the rounds of a query one after another and keeps what was
// asked.
type script struct {
	outcomes []*leverengine.Outcome
	asked    []*leverengine.Request
}

func (s *script) Run(_ context.Context, req *leverengine.Request) *leverengine.Outcome {
	s.asked = append(s.asked, req)
	out := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	return out
}

// ledger is a claimer that counts.
type ledger struct {
	err               error
	claimed, released int
}

func (l *ledger) Claim(context.Context, leverclaim.ID, leverclaim.Nonce) error {
	l.claimed++
	return l.err
}

func (l *ledger) Release(context.Context, leverclaim.ID, leverclaim.Nonce) error {
	l.released++
	return nil
}

func engine(t *testing.T, s *script, l *ledger) *leverquery.Engine {
	t.Helper()
	x, err := leversnapshot.ParseIndex([]byte(`{"service": "s", "upstreams": [
		{"id": "a0", "address": "a", "slots": 1, "connections": 1}, {"id": "b0", "address": "a", "slots": 1, "connections": 1}],
		"maps": [{"version": 6, "shards": [{"replicas": ["a0"]}, {"replicas": ["b0"]}]},
			{"version": 7, "shards": [{"replicas": ["a0"]}, {"replicas": ["b0"]}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	d := &leversnapshot.Directory{}
	d.Set(x)
	return &leverquery.Engine{
		Timer: &levertimer.Service{}, Counters: &leverevent.Counters{}, Events: &leverevent.Line{},
		Directory: d, Runner: s, Claims: l, RunUnclaimed: func(leverid.ServiceID) bool { return false },
	}
}

func ask(e *leverquery.Engine, once bool) (*leverquery.Answer, *leverquery.Refusal) {
	r := &leverquery.Request{Service: "s", ID: "r", Deadline: time.Now().Add(time.Second), Once: once, Key: "k"}
	a, err := e.Run(context.Background(), r)
	var refusal *leverquery.Refusal
	errors.As(err, &refusal)
	return a, refusal
}

func records(bodies ...string) *leverengine.Outcome {
	out := &leverengine.Outcome{Verdict: leverengine.Merged, Ran: true, Attempts: len(bodies)}
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

// TestCoverageIsTrue merges answers of which one is missing, one incomplete and
// one not to be read.
func TestCoverageIsTrue(t *testing.T) {
	cases := map[string]struct {
		first, second string
		want          leverquery.Coverage
		records       int
	}{
		"whole":       {`{"records": [{"key": "a", "revision": 1}]}`, `{"records": [{"key": "b", "revision": 1}]}`, leverquery.Coverage{Total: 2, Covered: 2}, 2},
		"missing":     {`{"records": [{"key": "a", "revision": 1}]}`, ``, leverquery.Coverage{Total: 2, Covered: 1, Missing: []leverid.ShardID{1}}, 1},
		"partial":     {`{"partial": true, "records": [{"key": "a", "revision": 1}]}`, `{}`, leverquery.Coverage{Total: 2, Covered: 1, Partial: []leverid.ShardID{0}}, 1},
		"no JSON":     {`{"rec`, `{}`, leverquery.Coverage{Total: 2, Covered: 1, Missing: []leverid.ShardID{0}}, 0},
		"one key two": {`{"records": [{"key": "a", "revision": 1}]}`, `{"records": [{"key": "a", "revision": 2}]}`, leverquery.Coverage{Total: 2, Covered: 2}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, _ := ask(engine(t, &script{outcomes: []*leverengine.Outcome{records(c.first, c.second)}}, nil), false)
			is.Equal(a.Coverage, c.want)
			is.Equal(len(a.Records), c.records)
			is.Equal(a.Snapshot, leverid.IndexVersion(7))
		})
	}
}

// TestOneRestart lets the newest version be missing, then the next one too.
func TestOneRestart(t *testing.T) {
	is := is.New(t)
	first := records(`{}`, ``)
	first.Absent = []string{"5-6"}
	second := records(`{"records": [{"key": "x", "revision": 6}]}`, ``)
	second.Absent = []string{"8-9"}
	s := &script{outcomes: []*leverengine.Outcome{first, second}}
	a, _ := ask(engine(t, s, nil), false)
	is.Equal(len(s.asked), 2) // no second restart
	is.True(s.asked[0].Path != s.asked[1].Path)
	is.True(a.Restarted)
	is.Equal(a.Snapshot, leverid.IndexVersion(6))
	is.Equal(a.Coverage.Missing, []leverid.ShardID{1})
}

// TestTrialIsWaitedFor runs a query again while another one with its content is
// on trial.
func TestTrialIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		trial := &leverengine.Outcome{Verdict: leverengine.NotRun, Cause: leverengine.OnTrial}
		s := &script{outcomes: []*leverengine.Outcome{trial, trial, records(`{}`, `{}`)}}
		a, _ := ask(engine(t, s, nil), false)
		is.True(a != nil && len(s.asked) == 3)
	})
}

// TestOnceEnds checks what follows each end of a request that is not repeatable:
// the claim is given up only if nothing ran.
func TestOnceEnds(t *testing.T) {
	passed := func(status int) *leverengine.Outcome {
		return &leverengine.Outcome{Verdict: leverengine.Passed, Ran: true, Reply: &leverpool.Reply{Status: status, Body: []byte(`{}`)}}
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
		"reset":           {outcome: &leverengine.Outcome{Verdict: leverengine.MayHaveRun, Ran: true}, reason: leverquery.OutcomeUnknown, run: leverid.MayHaveRun, sent: 1},
		"late after send": {outcome: &leverengine.Outcome{Verdict: leverengine.Late, Ran: true}, reason: leverquery.OutcomeUnknown, run: leverid.MayHaveRun, sent: 1},
		"not run":         {outcome: &leverengine.Outcome{Verdict: leverengine.NotRun}, reason: leverquery.Unavailable, released: 1, sent: 1},
		"late before":     {outcome: &leverengine.Outcome{Verdict: leverengine.Late}, reason: leverquery.Unavailable, released: 1, sent: 1},
		"claimed before":  {claim: leverclaim.ErrTaken, reason: leverquery.ClaimTaken, run: leverid.MayHaveRun},
		"store down":      {claim: leverstore.ErrUnavailable, reason: leverquery.ClaimFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &script{outcomes: []*leverengine.Outcome{c.outcome}}
			l := &ledger{err: c.claim}
			a, refusal := ask(engine(t, s, l), true)
			is.Equal(len(s.asked), c.sent)
			is.Equal(l.released, c.released)
			if c.reason == "" {
				is.True(a != nil)
				is.True(s.asked[0].Variant.Once)
				return
			}
			is.Equal(refusal.Reason, c.reason)
			is.Equal(refusal.Run, c.run)
		})
	}
}
