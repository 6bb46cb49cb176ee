package levertrial

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverreport"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

//go:embed bounds.json
var boundsFile []byte

// Bound is what a case must keep. A nil member bounds nothing.
type Bound struct {
	Violations *int     `json:"violations"`
	Extra      *float64 `json:"extra"`
	// Coverage is the least mean part of shards that answers cover.
	Coverage *float64 `json:"coverage"`
	Refused  *int     `json:"refused"`
	Cut      *int     `json:"cut"`
	// RefusedConnections counts connections beyond an upstream's limit.
	RefusedConnections *int `json:"refused-connections"`
	// UrgentP99 is the urgent p99 as a multiple of that of the case well.
	UrgentP99 *float64 `json:"urgent-p99-of-unloaded"`
	// Goodput and the kept work are parts of the capacity.
	Goodput     *float64 `json:"goodput"`
	RoutineKept *float64 `json:"routine-kept"`
	BulkKept    *float64 `json:"bulk-kept"`
	// BackWithinMS is how long after a trigger's end answers may be missing.
	BackWithinMS *float64 `json:"back-within-ms"`
}

// Bounds returns the bounds by case; "all" holds for every case.
func Bounds() (map[string]Bound, error) {
	std, err := hujson.Standardize(append([]byte(nil), boundsFile...))
	if err != nil {
		return nil, errors.Annotate(err, "bounds")
	}
	var out map[string]Bound
	if err := json.Unmarshal(std, &out); err != nil {
		return nil, errors.Annotate(err, "bounds")
	}
	return out, nil
}

// Breaches returns what a result does not keep. unloaded is the urgent p99 of
// the case well.
func (b Bound) Breaches(r *Result, unloaded time.Duration) []string {
	var out []string
	most := func(name string, limit *float64, got float64) {
		if limit != nil && got > *limit {
			out = append(out, fmt.Sprintf("%s: %s %.4g, at most %.4g", r.Case, name, got, *limit))
		}
	}
	least := func(name string, limit *float64, got float64) {
		if limit != nil && got < *limit {
			out = append(out, fmt.Sprintf("%s: %s %.4g, at least %.4g", r.Case, name, got, *limit))
		}
	}
	most("violations", whole(b.Violations), float64(len(r.Violations)))
	most("extra load", b.Extra, r.Extra())
	least("coverage", b.Coverage, coverage(r.Report))
	most("refused", whole(b.Refused), float64(refused(r.Report)))
	most("refused connections", whole(b.RefusedConnections), float64(r.Refused))
	most("cut", whole(b.Cut), float64(cut(r.Report)))
	most("urgent p99 of unloaded", b.UrgentP99, float64(r.Report.Rows[leverid.Urgent].P99)/float64(max(unloaded, 1)))
	least("goodput", b.Goodput, r.Total()/Capacity)
	least("routine kept", b.RoutineKept, r.Goodput[leverid.Routine]/Capacity)
	least("bulk kept", b.BulkKept, r.Goodput[leverid.Bulk]/Capacity)
	most("ms until back", b.BackWithinMS, ms(r.Back))
	return out
}

func whole(n *int) *float64 {
	if n == nil {
		return nil
	}
	f := float64(*n)
	return &f
}

// coverage is the mean over all answers.
func coverage(p *leverreport.Report) float64 {
	sum, n := 0.0, 0
	for i := range p.Rows {
		sum += p.Rows[i].Coverage * float64(p.Rows[i].Answered)
		n += p.Rows[i].Answered
	}
	return sum / float64(max(n, 1))
}

func refused(p *leverreport.Report) (n int) {
	for i := range p.Rows {
		n += p.Rows[i].NotRun + p.Rows[i].MayHaveRun
	}
	return n
}

func cut(p *leverreport.Report) (n int) {
	for i := range p.Rows {
		n += p.Rows[i].Cut
	}
	return n
}
