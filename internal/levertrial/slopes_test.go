package levertrial_test

import (
	"fmt"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermerge"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverrank"
	"arbutuslever.dev/lever/internal/leverroute"

	"github.com/vmihailenco/msgpack/v5"
)

// The sizes of the benchmarks: leafs of one query.
var leafSizes = []int{10, 100, 1200}

func items(n int) []levermsg.Item {
	out := make([]levermsg.Item, n)
	for i := range out {
		out[i] = levermsg.Item{
			Attempt: leverid.AttemptID(1<<40 + i), Shard: leverid.ShardID(i),
			Upstream: leverid.UpstreamID(fmt.Sprintf("portal-01-s%d-r0", i)),
		}
	}
	return out
}

func perLeaf(b *testing.B, n int) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/leaf")
}

// BenchmarkPlan chooses a replica and its home for each leaf.
func BenchmarkPlan(b *testing.B) {
	vms := make([]levermsg.VM, 7)
	for i := range vms {
		vms[i] = levermsg.VM{ID: leverid.VMID(fmt.Sprint("vm-", i)), Domain: leverid.Domain(fmt.Sprint("d", i%3))}
	}
	for _, n := range leafSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			router := &leverroute.Groups{Size: 32}
			p := leverroute.NewReplicas("d0", 1)
			its := items(n)
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for b.Loop() {
				for i := range its {
					c, _ := p.Choose([]leverroute.Candidate{{Upstream: its[i].Upstream, Domain: "d0"}, {Upstream: "other", Domain: "d1"}}, nil, now)
					router.Home("s", c.Upstream, c.Domain, vms)
				}
			}
			perLeaf(b, n)
		})
	}
}

// BenchmarkCodec encodes and decodes a batch and its results.
func BenchmarkCodec(b *testing.B) {
	for _, n := range leafSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			batch := levermsg.Batch{Items: items(n)}
			results := make([]levermsg.Result, n)
			var size int
			b.ReportAllocs()
			for b.Loop() {
				raw, err := msgpack.Marshal(&batch)
				if err != nil {
					b.Fatal(err)
				}
				var back levermsg.Batch
				if err := leverpeer.Decode(raw, &back); err != nil {
					b.Fatal(err)
				}
				raw2, err := msgpack.Marshal(results)
				if err != nil {
					b.Fatal(err)
				}
				var back2 []levermsg.Result
				if err := leverpeer.Decode(raw2, &back2); err != nil {
					b.Fatal(err)
				}
				size = len(raw) + len(raw2)
			}
			perLeaf(b, n)
			b.ReportMetric(float64(size)/float64(n), "B/leaf")
		})
	}
}

// BenchmarkMerge merges three records of each leaf.
func BenchmarkMerge(b *testing.B) {
	for _, n := range leafSizes {
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
			perLeaf(b, n)
		})
	}
}

// BenchmarkAdmit allocates the room of each leaf and admits one query.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range leafSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var a leverrank.FloorAdmitter
			now := time.Unix(1000, 0)
			demand := levermsg.RankRates{100, 200, 300}
			b.ReportAllocs()
			for b.Loop() {
				for range n {
					leverrank.Fractions(leverrank.Allocate(400, demand, leverrank.Floors{0, 0.2, 0.07}), demand)
				}
				a.Admit(leverid.Bulk, now)
			}
			perLeaf(b, n)
		})
	}
}

// BenchmarkHome takes a batch through queues and slots to an upstream that
// answers at once.
func BenchmarkHome(b *testing.B) {
	for _, n := range leafSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := instantHome()
			batch := levermsg.Batch{Query: levermsg.Query{Service: "s", Deadline: time.Now().Add(time.Hour)}, Items: items(n)}
			b.ReportAllocs()
			for b.Loop() {
				done := make(chan struct{}, n)
				h.Start(b.Context(), &batch, func(levermsg.Result) { done <- struct{}{} })
				for range n {
					<-done
				}
			}
			perLeaf(b, n)
		})
	}
}
