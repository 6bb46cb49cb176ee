package levermerge_test

import (
	"flag"
	"fmt"
	"reflect"
	"testing"

	"arbutuslever.dev/lever/internal/levermerge"
	"arbutuslever.dev/lever/internal/levermsg"

	"pgregory.net/rapid"
)

// init fixes the seed so that every run checks the same cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestMergeOrderDoesNotMatter checks that merging the parts in order, in reverse
// and in groups gives the same page, and that no key appears twice.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts [][]levermsg.Record
		for range rapid.IntRange(1, 6).Draw(t, "parts") {
			var part []levermsg.Record
			for range rapid.IntRange(0, 5).Draw(t, "records") {
				part = append(part, levermsg.Record{
					Key:      fmt.Sprint("k", rapid.IntRange(0, 8).Draw(t, "key")),
					Revision: uint64(rapid.IntRange(1, 3).Draw(t, "revision")),
					Value:    levermsg.RawJSON(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "value"))),
				})
			}
			parts = append(parts, part)
		}
		limit := rapid.IntRange(0, 6).Draw(t, "limit")
		var all, reversed, grouped, first, second levermerge.Set
		for i := range parts {
			all.Add(parts[i])
			reversed.Add(parts[len(parts)-1-i])
			if i%2 == 0 {
				first.Add(parts[i])
			} else {
				second.Add(parts[i])
			}
		}
		for _, g := range []*levermerge.Set{&first, &second} {
			cut := limit
			if cut > 0 {
				cut++ // one more record, so that the merge can tell whether more follow
			}
			page, _ := g.Page(cut)
			grouped.Add(page)
		}
		want, more := all.Page(limit)
		for name, s := range map[string]*levermerge.Set{"backwards": &reversed, "in groups": &grouped} {
			got, gotMore := s.Page(limit)
			if !reflect.DeepEqual(got, want) || gotMore != more {
				t.Fatalf("%s: %v, %v; want %v, %v", name, got, gotMore, want, more)
			}
		}
		for i := 1; i < len(want); i++ {
			if want[i].Key <= want[i-1].Key {
				t.Fatalf("key %q after %q", want[i].Key, want[i-1].Key)
			}
		}
	})
}
