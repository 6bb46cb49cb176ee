package levertrial_test

import (
	"fmt"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermerge"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverrank"
)

// upstreamCounts are the numbers of upstreams per query in the benchmarks.
var upstreamCounts = []int{10, 100, 1200}

func reportPerUpstream(b *testing.B, n int) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/leaf")
}

// BenchmarkMerge merges three records from each upstream.
func BenchmarkMerge(b *testing.B) {
	for _, n := range upstreamCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			records := make([][]levermsg.Record, n)
			for i := range records {
				for j := range 3 {
					records[i] = append(records[i], levermsg.Record{Key: fmt.Sprint(i, "-", j), Revision: 7})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				var s levermerge.Set
				for _, r := range records {
					s.Add(r)
				}
				s.Page(100)
			}
			reportPerUpstream(b, n)
		})
	}
}

// BenchmarkAdmit admits queries of all ranks in turn.
func BenchmarkAdmit(b *testing.B) {
	var r leverrank.Limiter
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		r.Admit(leverid.Rank(i%leverid.RankCount), 0.005, now)
		r.Observe(0, 1, 0.005, false, now)
	}
}
