package leverrank_test

import (
	"flag"
	"math"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverrank"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// init fixes the seed, so that every run gives the same verdict.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func TestQueueKeepsFloors(t *testing.T) {
	cases := map[string]struct {
		floors leverrank.Floors
		want   [leverid.RankCount]float64 // least part of the turns
	}{
		"no floors":   {leverrank.Floors{}, [leverid.RankCount]float64{1, 0, 0}},
		"two floors":  {leverrank.Floors{0, 0.2, 0.07}, [leverid.RankCount]float64{0.7, 0.19, 0.06}},
		"high floors": {leverrank.Floors{0.1, 0.4, 0.4}, [leverid.RankCount]float64{0.1, 0.39, 0.39}},
	}
	const turns = 1000
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := leverrank.Queue{Floors: c.floors}
			for range turns {
				for _, r := range leverid.Ranks() {
					q.Push(&leverrank.Ticket{Rank: r})
				}
			}
			var served [leverid.RankCount]float64
			for range turns {
				served[q.Pop().Rank]++
			}
			for r := range served {
				is.True(served[r]/turns >= c.want[r])
			}
		})
	}
}

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	var q leverrank.Queue
	first, second := &leverrank.Ticket{Rank: leverid.Bulk}, &leverrank.Ticket{Rank: leverid.Bulk}
	urgent := &leverrank.Ticket{Rank: leverid.Urgent}
	q.Push(first)
	q.Push(second)
	q.Push(urgent)
	is.Equal(q.Ahead(leverid.Routine), 1)
	q.Withdraw(first)
	q.Withdraw(first)
	is.Equal(q.Total(), 2)
	is.Equal(q.Pop(), urgent)
	is.Equal(q.Pop(), second)
	is.True(q.Pop() == nil)
	q.Withdraw(second) // served before: nothing to take out
	is.Equal(q.Total(), 0)
}

// TestAllocate checks what every allocation must keep.
func TestAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		var demand levermsg.RankRates
		for r := range demand {
			demand[r] = rapid.Float64Range(0, 5000).Draw(t, "demand")
		}
		floors := leverrank.Floors{0, 0.2, 0.07}
		grant := leverrank.Allocate(capacity, demand, floors)
		sum := 0.0
		for r := range grant {
			sum += grant[r]
			if grant[r] < 0 || grant[r] > demand[r]+1e-9 {
				t.Fatalf("rank %d: %g granted of %g", r, grant[r], demand[r])
			}
			if keep := math.Min(demand[r], floors[r]*capacity); grant[r] < keep-1e-9 {
				t.Fatalf("rank %d: %g granted, %g kept by its floor", r, grant[r], keep)
			}
		}
		wanted := demand[0] + demand[1] + demand[2]
		if sum > capacity+1e-6 || sum < math.Min(capacity, wanted)-1e-6 {
			t.Fatalf("%g granted of %g for %g", sum, capacity, wanted)
		}
		if grant[0] < demand[0]-1e-9 && (grant[1] > floors[1]*capacity+1e-9 || grant[2] > floors[2]*capacity+1e-9) {
			t.Fatalf("urgent work is short and others have more than their floors: %v", grant)
		}
	})
}

func TestAdmitterSpreadsEvenly(t *testing.T) {
	is := is.New(t)
	var a leverrank.FloorAdmitter
	now := time.Unix(0, 0)
	is.True(a.Admit(leverid.Bulk, now)) // nothing known: let in
	a.Feedback([leverid.RankCount]float32{1, 1, 0.1}, now)
	admitted, run, longest := 0, 0, 0
	for range 1000 {
		run++
		if a.Admit(leverid.Bulk, now) {
			admitted++
			run = 0
		}
		longest = max(longest, run)
	}
	is.True(admitted >= 99 && admitted <= 101)
	is.True(longest <= 10)
	is.True(a.Admit(leverid.Urgent, now))
	is.True(a.Admit(leverid.Bulk, now.Add(time.Minute))) // the feedback is old
}

// TestAdmitterOfFewQueries offers few queries to each of many VMs: together they
// let in the fraction, though no VM sees enough of them for one whole.
func TestAdmitterOfFewQueries(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	const vms, each, fraction = 2000, 5, 0.1
	admitted := 0
	for range vms {
		var a leverrank.FloorAdmitter
		a.Feedback([leverid.RankCount]float32{1, 1, fraction}, now)
		for range each {
			if a.Admit(leverid.Bulk, now) {
				admitted++
			}
		}
	}
	want := vms * each * fraction
	is.True(float64(admitted) > 0.85*want && float64(admitted) < 1.15*want)
}

func TestReportsLapse(t *testing.T) {
	is := is.New(t)
	var p leverrank.Reports
	now := time.Unix(0, 0)
	p.Set("vm-1", levermsg.RankRates{1, 2, 3}, now)
	p.Set("vm-2", levermsg.RankRates{10, 20, 30}, now.Add(time.Second))
	is.Equal(p.Sum(now.Add(time.Second)), levermsg.RankRates{11, 22, 33})
	is.Equal(p.Sum(now.Add(2500*time.Millisecond)), levermsg.RankRates{10, 20, 30})
}

func BenchmarkQueue(b *testing.B) {
	q := leverrank.Queue{Floors: leverrank.Floors{0, 0.2, 0.07}}
	t := &leverrank.Ticket{Rank: leverid.Routine}
	b.ReportAllocs()
	for b.Loop() {
		q.Push(t)
		q.Pop()
	}
}
