package leverhealth_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverhealth"

	"github.com/matryer/is"
)

const class leverhealth.Class = "c"

var begin = time.Unix(1000, 0)

func upstream(id string) *leverdirectory.Upstream {
	return &leverdirectory.Upstream{ID: "u" + "-", Address: id, Slots: 2}
}

// call plays one call that takes d.
func call(t *leverhealth.Table, u *leverdirectory.Upstream, at time.Time, d time.Duration, r leverhealth.Result) leverhealth.Belief {
	t.Begin(u, at)
	return t.End(u, class, at, r, at.Add(d))
}

// warm makes u usual: 20 ms a call.
func warm(t *leverhealth.Table, us ...*leverdirectory.Upstream) time.Time {
	now := begin
	for range 100 {
		for _, u := range us {
			call(t, u, now, 20*time.Millisecond, leverhealth.Good)
			now = now.Add(20 * time.Millisecond)
		}
	}
	return now
}

func TestExpect(t *testing.T) {
	cases := map[string]func(t *leverhealth.Table, u *leverdirectory.Upstream, now time.Time) time.Time{
		"slow": func(t *leverhealth.Table, u *leverdirectory.Upstream, now time.Time) time.Time {
			call(t, u, now, 200*time.Millisecond, leverhealth.Good)
			return now.Add(200 * time.Millisecond)
		},
		"fails": func(t *leverhealth.Table, u *leverdirectory.Upstream, now time.Time) time.Time {
			call(t, u, now, time.Millisecond, leverhealth.Failed)
			return now.Add(time.Millisecond)
		},
		"sheds": func(t *leverhealth.Table, u *leverdirectory.Upstream, now time.Time) time.Time {
			call(t, u, now, time.Millisecond, leverhealth.Shed)
			return now.Add(time.Millisecond)
		},
		"can't be reached": func(t *leverhealth.Table, u *leverdirectory.Upstream, now time.Time) time.Time {
			call(t, u, now, time.Millisecond, leverhealth.Refused)
			return now.Add(time.Millisecond)
		},
		"stands still": func(t *leverhealth.Table, u *leverdirectory.Upstream, now time.Time) time.Time {
			t.Begin(u, now)
			return now.Add(t.SlowAfter(class) + time.Millisecond)
		},
		"is busy": func(t *leverhealth.Table, u *leverdirectory.Upstream, now time.Time) time.Time {
			t.Begin(u, now)
			t.Begin(u, now)
			return now
		},
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var table leverhealth.Table
			good, bad := upstream("a"), upstream("b")
			now := act(&table, bad, warm(&table, good, bad))
			is.True(table.Expect(bad, class, now) > table.Expect(good, class, now))
		})
	}
}

// TestForget: what is believed without new evidence fades.
func TestForget(t *testing.T) {
	is := is.New(t)
	var table leverhealth.Table
	u := upstream("a")
	now := warm(&table, u)
	usual := table.Expect(u, class, now)
	for range 10 {
		call(&table, u, now, 300*time.Millisecond, leverhealth.Good)
		now = now.Add(300 * time.Millisecond)
	}
	is.True(table.Expect(u, class, now) > 3*usual)
	is.True(table.Expect(u, class, now.Add(20*time.Second)) < 2*usual)
}

// TestStandstillEnds: an answer to any call ends the belief.
func TestStandstillEnds(t *testing.T) {
	is := is.New(t)
	var table leverhealth.Table
	u := upstream("a")
	now := warm(&table, u)
	table.Begin(u, now)
	later := now.Add(time.Second)
	is.True(!leverhealth.Usable(table.Expect(u, class, later)))
	call(&table, u, later, 20*time.Millisecond, leverhealth.Good)
	is.True(leverhealth.Usable(table.Expect(u, class, later.Add(21*time.Millisecond))))
}

// TestWithdrawn: a call that was never sent tells nothing.
func TestWithdrawn(t *testing.T) {
	is := is.New(t)
	var table leverhealth.Table
	u := upstream("a")
	now := warm(&table, u)
	before := table.Expect(u, class, now)
	is.Equal(call(&table, u, now, time.Second, leverhealth.Withdrawn), leverhealth.Belief(""))
	is.True(table.Expect(u, class, now.Add(time.Second)) <= before+time.Millisecond)
}

func TestBeliefs(t *testing.T) {
	is := is.New(t)
	var table leverhealth.Table
	u := upstream("a")
	now := warm(&table, u)
	is.Equal(call(&table, u, now, 0, leverhealth.Refused), leverhealth.Unreachable)
	now = now.Add(time.Second)
	is.Equal(call(&table, u, now, 0, leverhealth.Good), leverhealth.Sound)
	var last leverhealth.Belief
	for range 8 {
		now = now.Add(time.Millisecond)
		if b := call(&table, u, now, 0, leverhealth.Shed); b != "" {
			last = b
		}
	}
	is.Equal(last, leverhealth.Failing)
}

func TestRetain(t *testing.T) {
	is := is.New(t)
	var table leverhealth.Table
	u := upstream("a")
	now := warm(&table, u)
	call(&table, u, now, 0, leverhealth.Refused)
	table.Retain(func(leverdirectory.Key) bool { return false })
	is.True(leverhealth.Usable(table.Expect(u, class, now)))
}
