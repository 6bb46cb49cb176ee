package levermerge_test

import (
	"bytes"
	"slices"
	"testing"

	"arbutuslever.dev/lever/internal/levermerge"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestTop compares Top with a sort of all records, for arbitrary parts.
func TestTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 4
		top := levermerge.Top{Size: size, Limit: rapid.IntRange(0, 12).Draw(t, "limit")}
		var all []string
		for range rapid.IntRange(0, 6).Draw(t, "parts") {
			part := rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 30).Draw(t, "part")
			top.Add(part)
			for len(part) >= size {
				all = append(all, string(part[:size]))
				part = part[size:]
			}
		}
		slices.Sort(all)
		slices.Reverse(all)
		var want bytes.Buffer
		for _, r := range all[:min(top.Limit, len(all))] {
			want.WriteString(r)
		}
		if got := top.Bytes(); !bytes.Equal(got, want.Bytes()) {
			t.Fatalf("got %v, want %v", got, want.Bytes())
		}
	})
}

func TestTopKeepsEqualRecords(t *testing.T) {
	is := is.New(t)
	top := levermerge.Top{Size: 2, Limit: 3}
	top.Add([]byte("aabb"))
	top.Add([]byte("bbx"))
	is.Equal(string(top.Bytes()), "bbbbaa")
}
