package leverquery_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverclaim"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverquery"
	"arbutuslever.dev/lever/internal/leverstore"

	"github.com/matryer/is"
)

// silentClaimer never gets a response from the store.
type silentClaimer struct{ countingClaimer }

func (c *silentClaimer) Claim(ctx context.Context, _ leverclaim.ID, _ leverclaim.Nonce) error {
	c.claimed++
	<-ctx.Done()
	return leverstore.ErrOutcomeUnknown
}

// TestClaimOutlivedTheStop ends a VM's work while the claim of a request that
// must not be repeated waits for the store. The request is refused at the end.
func TestClaimOutlivedTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, l := &scriptedRunner{}, &silentClaimer{}
		e := engine(t, s, &l.countingClaimer)
		e.Claims = l
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { e.EndBy(began.Add(300 * time.Millisecond)) })
		_, refusal := runQuery(e, true)
		is.Equal(time.Since(began), 300*time.Millisecond)
		is.Equal(refusal.Reason, leverquery.Stopping)
		is.Equal(refusal.Run, leverid.NotRun)
		is.True(refusal.RetryAfter > 0)
		is.Equal(len(s.requests), 0)
	})
}

// TestRefusalNamesTheStop checks when a refusal says that the VM stops: only if
// the stop has shortened the request's time and the request has not run.
func TestRefusalNamesTheStop(t *testing.T) {
	cases := map[string]struct {
		end     time.Duration // from the request's arrival; 0 means none
		outcome leverengine.Outcome
		want    leverquery.Reason
		run     leverid.RunState
	}{
		"no stop":             {0, leverengine.Outcome{Verdict: leverengine.NotRun}, leverquery.Incomplete, leverid.NotRun},
		"end after deadline":  {time.Minute, leverengine.Outcome{Verdict: leverengine.NotRun}, leverquery.Incomplete, leverid.NotRun},
		"end before deadline": {time.Second / 2, leverengine.Outcome{Verdict: leverengine.NotRun}, leverquery.Stopping, leverid.NotRun},
		"late, not run":       {time.Second / 2, leverengine.Outcome{Verdict: leverengine.Late}, leverquery.Stopping, leverid.NotRun},
		"late, may have run":  {time.Second / 2, leverengine.Outcome{Verdict: leverengine.Late, MaybeRan: true}, leverquery.Incomplete, leverid.MayHaveRun},
		"work has ended":      {-time.Second, leverengine.Outcome{Verdict: leverengine.NotRun}, leverquery.Stopping, leverid.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &scriptedRunner{outcomes: []*leverengine.Outcome{&c.outcome}}
				e := engine(t, s, nil)
				if c.end != 0 {
					e.EndBy(time.Now().Add(c.end))
				}
				_, refusal := runQuery(e, false)
				is.Equal(refusal.Reason, c.want)
				is.Equal(refusal.Run, c.run)
				is.True(c.run == leverid.MayHaveRun || refusal.RetryAfter > 0)
				time.Sleep(time.Minute)
			})
		})
	}
}
