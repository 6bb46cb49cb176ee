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

// Bound holds the limits for the result of a case. A nil field sets no limit.
type Bound struct {
	Violations *int     `json:"violations"`
	ExtraRatio *float64 `json:"extra"`
	// Coverage is the minimum mean fraction of shards that answers cover.
	Coverage *float64 `json:"coverage"`
	Refused  *int     `json:"refused"`
	Cut      *int     `json:"cut"`
	// RefusedConnections is the maximum number of connections that upstreams
	// refuse because of their connection limit.
	RefusedConnections *int `json:"refused-connections"`
	// UrgentP99Ratio is the maximum urgent p99, as a multiple of the urgent p99
	// of the case well.
	UrgentP99Ratio *float64 `json:"urgent-p99-of-unloaded"`
	// Goodput, RoutineGoodput and BulkGoodput are minimum rates of complete
	// answers, of all ranks or of one, as fractions of Capacity.
	Goodput        *float64 `json:"goodput"`
	RoutineGoodput *float64 `json:"routine-kept"`
	BulkGoodput    *float64 `json:"bulk-kept"`
	// RecoveryMS is the maximum time from the end of the fault until all
	// answers are complete, in milliseconds.
	RecoveryMS *float64 `json:"back-within-ms"`
}

// Bounds returns the bounds by name of the case. The entry "all" applies to
// every case.
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

// Check returns a message for each limit that r violates. unloaded is the urgent
// p99 of the case well.
func (b Bound) Check(r *Result, unloaded time.Duration) []string {
	var out []string
	atMost := func(name string, limit *float64, got float64) {
		if limit != nil && got > *limit {
			out = append(out, fmt.Sprintf("%s: %s %.4g, at most %.4g", r.Case, name, got, *limit))
		}
	}
	atLeast := func(name string, limit *float64, got float64) {
		if limit != nil && got < *limit {
			out = append(out, fmt.Sprintf("%s: %s %.4g, at least %.4g", r.Case, name, got, *limit))
		}
	}
	atMost("violations", toFloat(b.Violations), float64(len(r.Violations)))
	atMost("extra load", b.ExtraRatio, r.ExtraRatio())
	atLeast("coverage", b.Coverage, coverage(r.Report))
	atMost("refused", toFloat(b.Refused), float64(refused(r.Report)))
	atMost("refused connections", toFloat(b.RefusedConnections), float64(r.Refused))
	atMost("cut", toFloat(b.Cut), float64(cut(r.Report)))
	atMost("urgent p99 over unloaded", b.UrgentP99Ratio, float64(r.Report.Rows[leverid.Urgent].P99)/float64(max(unloaded, 1)))
	atLeast("goodput", b.Goodput, r.TotalGoodput()/Capacity)
	atLeast("routine kept", b.RoutineGoodput, r.Goodput[leverid.Routine]/Capacity)
	atLeast("bulk kept", b.BulkGoodput, r.Goodput[leverid.Bulk]/Capacity)
	atMost("ms until recovery", b.RecoveryMS, ms(r.RecoveryTime))
	return out
}

func toFloat(n *int) *float64 {
	if n == nil {
		return nil
	}
	f := float64(*n)
	return &f
}

// coverage returns the mean coverage of all answers.
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
