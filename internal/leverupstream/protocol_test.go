package leverupstream_test

import (
	"flag"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverupstream"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// init fixes the seed so that runs are reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestShardNames checks that parsing a shard's name returns the shard, also for
// service names that contain slashes.
func TestShardNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := leverupstream.Shard{
			Service: leverid.ServiceID(rapid.StringMatching(`[a-z/0-9-]{1,12}`).Draw(t, "service")),
			Version: leverid.IndexVersion(rapid.Uint64().Draw(t, "version")),
			ID:      leverid.ShardID(rapid.IntRange(0, 1<<30).Draw(t, "shard")),
		}
		got, err := leverupstream.ParseShard(string(s.Name()))
		if err != nil || got != s {
			t.Fatalf("shard %v parsed from name %q: %v", got, s.Name(), err)
		}
	})
}

func TestParseShardErrors(t *testing.T) {
	for name, text := range map[string]string{
		"empty": "", "no version": "s/1", "no number": "s/1/", "no service": "/1/2", "below zero": "s/1/-2", "text": "s/a/b",
	} {
		if _, err := leverupstream.ParseShard(text); err == nil {
			t.Errorf("%s: shard name %q parsed without an error", name, text)
		}
	}
}

// TestReplies checks that ParseHead recovers the meaning of each kind of reply
// from its status and headers.
func TestReplies(t *testing.T) {
	call := &leverupstream.Call{Shard: leverupstream.Shard{Service: "s", Version: 4, ID: 2}, ID: "r"}
	cases := map[string]struct {
		reply  leverupstream.Reply
		status int
		want   leverengine.ResponseMeta
	}{
		"whole":    {leverupstream.Reply{Run: leverid.MayHaveRun}, http.StatusOK, leverengine.ResponseMeta{}},
		"shed":     {leverupstream.Reply{Reason: leverupstream.ReasonShed}, http.StatusTooManyRequests, leverengine.ResponseMeta{NotRun: true, StatusImpliesNotRun: true}},
		"draining": {leverupstream.Reply{Reason: leverupstream.ReasonDraining}, http.StatusServiceUnavailable, leverengine.ResponseMeta{NotRun: true, StatusImpliesNotRun: true}},
		"gone":     {leverupstream.Reply{Reason: leverupstream.ReasonGone}, http.StatusGone, leverengine.ResponseMeta{NotRun: true, Absent: "5-6"}},
		"not yet":  {leverupstream.Reply{Reason: leverupstream.ReasonNotYet}, http.StatusTooEarly, leverengine.ResponseMeta{NotRun: true, Absent: "5-6"}},
		"expired":  {leverupstream.Reply{Reason: leverupstream.ReasonExpired}, http.StatusGatewayTimeout, leverengine.ResponseMeta{NotRun: true}},
		"failed":   {leverupstream.Reply{Reason: leverupstream.ReasonFailed, Run: leverid.MayHaveRun}, http.StatusInternalServerError, leverengine.ResponseMeta{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			c.reply.Request, c.reply.Versions = call.ID, leverupstream.Versions{Oldest: 5, Newest: 6}
			c.reply.Write(w, call, "u")
			is.Equal(w.Code, c.status)
			c.want.Request, c.want.Service, c.want.Signature = "r", "s/4/2", "u"
			is.Equal(leverupstream.Protocol{}.ParseHead(w.Code, w.Header()), c.want)
		})
	}
}

// TestReadCall checks that ReadCall reads the headers that AttemptHeaders sets
// and rejects a malformed time left.
func TestReadCall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := httptest.NewRequest(http.MethodPost, leverupstream.Path, strings.NewReader(`{"repeatable": true}`))
	r.Header = leverupstream.Protocol{}.AttemptHeaders(1500*time.Millisecond, &leverdirectory.Upstream{ID: "u", Service: "s/4/2"})
	r.Header.Set(leverupstream.HeaderRequest, "r")
	r.Header.Set(leverupstream.HeaderRank, "bulk")
	c, err := leverupstream.ReadCall(httptest.NewRecorder(), r, now)
	is.NoErr(err)
	is.Equal(*c, leverupstream.Call{
		Request: leverupstream.Request{Repeatable: true}, Shard: leverupstream.Shard{Service: "s", Version: 4, ID: 2},
		ID: "r", Rank: leverid.Bulk, Upstream: "u", Deadline: now.Add(1500 * time.Millisecond),
	})
	r.Header.Set(leverupstream.HeaderLeft, "soon")
	_, err = leverupstream.ReadCall(httptest.NewRecorder(), r, now)
	is.True(err != nil)
}
