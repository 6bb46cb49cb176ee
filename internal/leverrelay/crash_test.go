package leverrelay_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrelay"

	"github.com/matryer/is"
)

// TestBarsOutlastSuspicions guards against bars that are forgotten when many contents are
// suspect, and against renewed ones that are not relayed.
func TestBarsOutlastSuspicions(t *testing.T) {
	is := is.New(t)
	m := leverrelay.NewMirror()
	now := time.Now()
	const bars, suspicions = 100, 5000
	for i := range bars + suspicions {
		e := levercrash.Entry{Fingerprint: leverid.Fingerprint(i + 1), Level: levercrash.Suspect, Since: now, Until: now.Add(time.Minute)}
		if i < bars {
			e.Level, e.Until = levercrash.Barred, now.Add(10*time.Minute)
		}
		m.AddCrashes([]levercrash.Entry{e})
	}
	barred := func(u *leverrelay.Update) int {
		n := 0
		for _, c := range u.Crashes {
			if c.Level == levercrash.Barred {
				n++
			}
		}
		return n
	}
	u, _ := m.Since(0, 0)
	is.Equal(barred(u), bars)
	is.Equal(len(u.Crashes), 4096)
	renewed := levercrash.Entry{Fingerprint: 1, Level: levercrash.Barred, Since: now, Until: now.Add(20 * time.Minute)}
	m.AddCrashes([]levercrash.Entry{renewed})
	next, _ := m.Since(u.Epoch, u.Seq)
	is.Equal(barred(next), 1)
	renewed.Until = renewed.Until.Add(time.Second) // by another way
	m.AddCrashes([]levercrash.Entry{renewed})
	last, _ := m.Since(next.Epoch, next.Seq)
	is.Equal(barred(last), 0)
}

// TestProbationIsRelayed guards against a content that is clear on a VM that starts after
// its bar has expired, while all others still suspect it.
func TestProbationIsRelayed(t *testing.T) {
	is := is.New(t)
	parent, child := leverrelay.NewMirror(), leverrelay.NewMirror()
	var got []levercrash.Entry
	child.OnCrashes = func(entries []levercrash.Entry) []levercrash.Entry {
		got = append(got, entries...)
		return entries
	}
	known := 0
	child.OnCrashesKnown = func() { known++ }
	now := time.Now()
	parent.AddCrashes([]levercrash.Entry{
		{Fingerprint: 1, Level: levercrash.Barred, Since: now.Add(-20 * time.Minute), Until: now.Add(-10 * time.Minute)},
		{Fingerprint: 2, Level: levercrash.Barred, Since: now.Add(-80 * time.Minute), Until: now.Add(-70 * time.Minute)},
	})
	u, _ := parent.Since(0, 0)
	child.Merge(u)
	is.Equal(len(got), 1)
	is.Equal(got[0].Fingerprint, leverid.Fingerprint(1))
	is.Equal(got[0].Level, levercrash.Suspect)
	is.True(got[0].Until.Sub(now) > 29*time.Minute)
	is.Equal(known, 0) // the parent has not read the store's records
	parent.SetCrashesKnown()
	for range 2 {
		u, _ = parent.Since(u.Epoch, u.Seq)
		child.Merge(u)
	}
	is.Equal(known, 1)
}

// TestNotedApart guards against VMs of earlier builds that take a noted content for a barred
// one, and against levels of later builds that end the process.
func TestNotedApart(t *testing.T) {
	is := is.New(t)
	m := leverrelay.NewMirror()
	now := time.Now()
	noted := levercrash.Entry{Fingerprint: 1, Level: levercrash.Noted, Upstream: "u", Born: 5, Since: now, Until: now.Add(time.Minute)}
	m.AddCrashes([]levercrash.Entry{noted})
	u, _ := m.Since(0, 0)
	is.Equal(len(u.Crashes), 0)
	is.Equal(len(u.Noted), 1)
	later := leverrelay.CrashEntry{Fingerprint: 2, Level: 200, Remaining: time.Minute}
	entries := leverrelay.Entries(now, u.Crashes, append(u.Noted, later))
	is.Equal(len(entries), 1)
	is.Equal(entries[0].Level, levercrash.Noted)
	is.Equal(entries[0].Born, int64(5))
}
