package levercopy_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/levercopy"

	"github.com/matryer/is"
)

// rules are those of a collection whose items may only grow.
var rules = levercopy.Rules[int]{
	Hold:  2 * time.Second,
	Stale: func(known int, removed bool, copied int) bool { return removed || copied < known },
	Equal: func(a, b int) bool { return a == b },
}

// TestReturn guards against items that are taken back because an older copy says so, and
// against those that are kept for ever although nobody writes them again.
func TestReturn(t *testing.T) {
	type items = map[string]int
	type known = levercopy.Item[int]
	cases := map[string]struct {
		known  known
		copied items
		// at once, and after a time, with what the store holds then.
		first  items
		after  time.Duration
		stored items
		then   items
	}{
		"the same":                 {known{1, false}, items{"a": 1}, items{"a": 1}, time.Minute, items{"a": 1}, items{"a": 1}},
		"missing, held":            {known{1, false}, items{}, items{"a": 1}, time.Second, items{}, items{"a": 1}},
		"missing, gone":            {known{1, false}, items{}, items{"a": 1}, 2 * time.Second, items{}, items{}},
		"missing, written again":   {known{1, false}, items{}, items{"a": 1}, time.Second, items{"a": 1}, items{"a": 1}},
		"missing, written anew":    {known{1, false}, items{}, items{"a": 1}, time.Second, items{"a": 3}, items{"a": 3}},
		"removed":                  {known{1, true}, items{"a": 1}, items{}, 9 * time.Second, items{"a": 1}, items{}},
		"removed, stays":           {known{1, true}, items{"a": 1}, items{}, 10 * time.Second, items{"a": 1}, items{"a": 1}},
		"removed, written anew":    {known{1, true}, items{"a": 1}, items{}, time.Second, items{"a": 2}, items{"a": 2}},
		"removed, removed again":   {known{1, true}, items{"a": 1}, items{}, time.Second, items{}, items{}},
		"goes back":                {known{5, false}, items{"a": 4}, items{"a": 5}, 9 * time.Second, items{"a": 4}, items{"a": 5}},
		"goes back, written again": {known{5, false}, items{"a": 4}, items{"a": 5}, time.Second, items{"a": 5}, items{"a": 5}},
		"goes back, then removed":  {known{5, false}, items{"a": 4}, items{"a": 5}, time.Second, items{}, items{}},
		"goes ahead":               {known{5, false}, items{"a": 6}, items{"a": 6}, time.Second, items{"a": 6}, items{"a": 6}},
	}
	start := time.Unix(1000, 0)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r levercopy.Return[int]
			r.Begin(2, &rules, map[string]known{"a": c.known}, c.copied, start)
			counting := func(stored items) items {
				out := make(items)
				for name, v := range stored {
					out[name] = v
				}
				r.Apply(out)
				return out
			}
			is.Equal(counting(c.copied), c.first)
			r.Update(&rules, func(name string) (int, bool) { v, ok := c.stored[name]; return v, ok }, start.Add(c.after))
			is.Equal(counting(c.stored), c.then)
		})
	}
}

// TestAdopt guards against a VM that started after a return and takes the copy for the
// truth, and against one that gives up what it has judged itself.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var first, second levercopy.Return[int]
	first.Begin(2, &rules, map[string]levercopy.Item[int]{"a": {Value: 1}, "b": {Value: 1, Removed: true}}, map[string]int{"b": 1}, start)
	second.Adopt(2, first.Judgements(), time.Second, start.Add(time.Second))
	held, stale := second.Count()
	is.Equal([]int{held, stale}, []int{1, 1})
	is.True(second.Holds("a"))
	second.Update(&rules, func(string) (int, bool) { return 1, true }, start.Add(9*time.Second))
	held, stale = second.Count()
	is.Equal([]int{held, stale}, []int{0, 1}) // "a" is written again, "b" not yet settled
	first.Adopt(2, nil, time.Second, start.Add(time.Second))
	held, stale = first.Count()
	is.Equal([]int{held, stale}, []int{1, 1})
}
