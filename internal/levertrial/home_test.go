package levertrial_test

import (
	"context"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverhome"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/levertimer"
)

// instant is an upstream client, a directory and a crash watcher that cost
// nothing.
type instant struct{}

func (instant) Do(_ context.Context, _ leversnapshot.Upstream, q *levermsg.Query, it levermsg.Item) levermsg.Result {
	return levermsg.Result{Attempt: it.Attempt, Version: q.Version, Run: leverid.MayHaveRun}
}

func (instant) Upstream(_ leverid.ServiceID, u leverid.UpstreamID) (leversnapshot.Upstream, bool) {
	return leversnapshot.Upstream{ID: u, Slots: 2}, true
}

func (instant) Policy(leverid.ServiceID) leverhome.Policy  { return leverhome.Policy{Limit: "adaptive"} }
func (instant) Level(leverid.Fingerprint) levercrash.Level { return levercrash.Clear }
func (instant) Reset(levercrash.Reset) levercrash.Level    { return levercrash.Clear }
func (instant) BeginTrial(leverid.Fingerprint) bool        { return true }
func (instant) EndTrial(leverid.Fingerprint)               {}
func (instant) Pass(leverid.Fingerprint)                   {}
func (instant) Good(leverid.Fingerprint, leverid.ShardID)  {}

// instantHome returns a home over instant upstreams.
func instantHome() *leverhome.Home {
	return &leverhome.Home{
		Timer: &levertimer.Service{}, Counters: &leverevent.Counters{},
		Client: instant{}, Directory: instant{}, Crashes: instant{},
	}
}
