package leverrank_test

import (
	"testing"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrank"

	"github.com/matryer/is"
)

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
	is.Equal(q.Len(), 2)
	is.Equal(q.Pop(), urgent)
	is.Equal(q.Pop(), second)
	is.True(q.Pop() == nil)
	q.Withdraw(second) // served before: nothing to take out
	is.Equal(q.Len(), 0)
}
