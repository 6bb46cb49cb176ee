package leverkernel

import (
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/levermerge"
	"arbutuslever.dev/lever/internal/levermsg"
)

// gatherTime is how long a home waits for more results before it sends one.
const gatherTime = 300 * time.Microsecond

// collector gathers the results of one batch and merges their records. It
// takes results from many goroutines; one reads them.
type collector struct {
	limit  int
	signal chan struct{}

	mu      sync.Mutex
	results []levermsg.Result
	records levermerge.Set
	left    int
}

func newCollector(b *levermsg.Batch) *collector {
	return &collector{limit: b.Query.Limit, left: len(b.Items), signal: make(chan struct{}, 1)}
}

func (c *collector) add(res levermsg.Result) {
	c.mu.Lock()
	if res.Outcome == levermsg.OK {
		c.records.Add(res.Records)
	}
	res.Records = nil
	c.results = append(c.results, res)
	c.left--
	c.mu.Unlock()
	select {
	case c.signal <- struct{}{}:
	default:
	}
}

// done reports whether every attempt has a result.
func (c *collector) done() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left == 0
}

// take returns what was gathered since the last call, and whether it is the
// last.
func (c *collector) take() (*Results, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	records, _ := c.records.Page(c.limit)
	out := &Results{Results: c.results, Records: records}
	c.results = nil
	c.records = levermerge.Set{}
	return out, c.left == 0
}
