package leverarchive_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverarchive"
	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// entry returns an entry that was made at a time after start and expires at another one.
func entry(f leverid.Fingerprint, l levercrash.Level, since, until time.Duration) levercrash.Entry {
	return levercrash.Entry{Fingerprint: f, Level: l, Service: "s", Upstream: "u", Since: start.Add(since), Until: start.Add(until)}
}

// TestNextChange guards against records that are missing, late or stale after a change of
// levels, and against writes without need: the store's calls are limited.
func TestNextChange(t *testing.T) {
	const minute = time.Minute
	type change struct {
		action leverarchive.Action
		level  levercrash.Level
		rev    leverfeed.Revision
	}
	noted := entry(7, levercrash.Noted, 0, 10*minute)
	suspect, barred := entry(7, levercrash.Suspect, 0, 10*minute), entry(7, levercrash.Barred, 0, 10*minute)
	cases := map[string]struct {
		stored, level *levercrash.Entry
		now           time.Duration
		want          *change
	}{
		"nothing":                          {},
		"new suspicion":                    {nil, &suspect, time.Second, nil},
		"suspicion that stands":            {nil, &suspect, 2 * time.Second, &change{leverarchive.Create, levercrash.Suspect, 0}},
		"noted":                            {nil, &noted, 0, &change{leverarchive.Create, levercrash.Noted, 0}},
		"suspicion after that":             {&noted, &suspect, 2 * time.Second, &change{leverarchive.Replace, levercrash.Suspect, 3}},
		"noted below a suspicion":          {&suspect, new(entry(7, levercrash.Noted, minute, 11*minute)), minute, nil},
		"new bar":                          {nil, &barred, 0, &change{leverarchive.Create, levercrash.Barred, 0}},
		"written already":                  {&barred, &barred, 0, nil},
		"bar after a suspicion":            {&suspect, &barred, 0, &change{leverarchive.Replace, levercrash.Barred, 3}},
		"suspicion below a bar":            {&barred, &suspect, 0, nil},
		"bar that is not confirmed":        {&suspect, new(entry(7, levercrash.Barred, 0, 2500*time.Millisecond)), 0, nil},
		"bar renewed":                      {&barred, new(entry(7, levercrash.Barred, 12*minute, 22*minute)), 12 * minute, &change{leverarchive.Replace, levercrash.Barred, 3}},
		"bar that came another way":        {&barred, new(entry(7, levercrash.Barred, time.Second, 10*minute+time.Second)), 2 * time.Second, nil},
		"both in probation":                {&barred, &barred, 12 * minute, nil},
		"cleared":                          {&suspect, new(entry(7, levercrash.Clear, minute, 11*minute)), minute, &change{leverarchive.Remove, levercrash.Clear, 3}},
		"cleared without a record":         {nil, new(entry(7, levercrash.Clear, minute, 11*minute)), minute, nil},
		"cleared here, barred elsewhere":   {&barred, new(entry(7, levercrash.Clear, minute, 11*minute)), minute, nil},
		"cleared before another suspicion": {&suspect, new(entry(7, levercrash.Clear, -minute, 9*minute)), minute, nil},
		"expired":                          {&suspect, nil, 10 * minute, &change{leverarchive.Remove, levercrash.Suspect, 3}},
		"expired after the probation":      {&barred, nil, 50 * minute, &change{leverarchive.Remove, levercrash.Barred, 3}},
		"not known here, but lasts":        {&barred, nil, minute, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r leverarchive.Records
			if c.stored != nil {
				r.Set(leverarchive.Record{Entry: *c.stored, Revision: 3})
			}
			now := start.Add(c.now)
			var levels []levercrash.Entry
			if c.level != nil {
				if e, ok := c.level.Current(now); ok {
					levels = append(levels, e)
				}
			}
			got, ok, wait := r.Next(levels, now)
			is.Equal(ok, c.want != nil)
			is.Equal(wait > 0, name == "new suspicion")
			if ok {
				is.Equal(change{got.Action, got.Entry.Level, got.Revision}, *c.want)
			}
		})
	}
}

// TestBarsFirst guards against a bar that waits behind many suspicions.
func TestBarsFirst(t *testing.T) {
	is := is.New(t)
	var levels []levercrash.Entry
	for i := range 100 {
		levels = append(levels, entry(leverid.Fingerprint(i+1), levercrash.Suspect, 0, time.Hour))
	}
	levels = append(levels, entry(200, levercrash.Barred, 0, time.Hour))
	var r leverarchive.Records
	c, ok, _ := r.Next(levels, start)
	is.True(ok)
	is.Equal(c.Entry.Fingerprint, leverid.Fingerprint(200))
}

// TestNotedRecordsAreBounded guards against hundreds of records of innocent contents when
// many upstreams crash at once, which also delay that of a bar.
func TestNotedRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	var levels []levercrash.Entry
	for i := range 500 {
		levels = append(levels, entry(leverid.Fingerprint(i+1), levercrash.Noted, 0, time.Hour))
	}
	var r leverarchive.Records
	n := 0
	for c, ok, _ := r.Next(levels, start); ok; c, ok, _ = r.Next(levels, start) {
		r.Set(leverarchive.Record{Entry: c.Entry, Revision: 1})
		n++
	}
	is.Equal(n, 32)
	c, ok, _ := r.Next(append(levels, entry(1000, levercrash.Barred, 0, time.Hour)), start)
	is.True(ok)
	is.Equal(c.Entry.Level, levercrash.Barred)
}
