package levertrial_test

import (
	"flag"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverhistory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/leverreport"
	"arbutuslever.dev/lever/internal/levertrial"

	"github.com/matryer/is"
)

var (
	benchCases      = flag.String("cases", "", "regular expression for the cases to measure; none by default")
	benchPolicy     = flag.String("policies", "baseline,policy", "policies to compare")
	benchLong       = flag.Bool("long", false, "print the full report of each result")
	benchSeed       = flag.Uint64("seed", 1, "seed")
	benchVMs        = flag.Int("vms", 7, "entry VMs")
	benchDeployment = flag.String("deployment", "tw-north", "tw-north or maroc-nord")
)

func deployment(name string) levermodel.Deployment {
	if name == "maroc-nord" {
		return levermodel.MarocNord().Scaled(2)
	}
	return levermodel.TwNorth().Scaled(2)
}

// TestBench prints measurements. scripts/bench.sh runs it.
func TestBench(t *testing.T) {
	if *benchCases == "" {
		t.Skip("run by scripts/bench.sh")
	}
	d := deployment(*benchDeployment)
	t.Log(levertrial.Header)
	pattern := regexp.MustCompile(*benchCases)
	for _, c := range levertrial.Cases(d) {
		if !pattern.MatchString(c.Name) {
			continue
		}
		for p := range strings.SplitSeq(*benchPolicy, ",") {
			synctest.Test(t, func(t *testing.T) {
				r := levertrial.Run(c, levertrial.Environment{Deployment: d, VMs: *benchVMs, Seed: *benchSeed}, levertrial.Policy(p))
				if *benchLong {
					t.Logf("%s\n%s", c.Description, r.Text())
				}
				t.Log(r.Line())
			})
		}
	}
}

// unloadedP99 returns the urgent p99 of the case well, the reference for the
// other cases. It combines four seeds, so that the percentile rests on about
// 2,400 urgent answers.
func unloadedP99(t *testing.T, d levermodel.Deployment) time.Duration {
	const seeds = 4
	var all []leverhistory.Exchange
	for seed := range uint64(seeds) {
		synctest.Test(t, func(*testing.T) {
			env := levertrial.Environment{Deployment: d, VMs: 7, Seed: seed + 1}
			all = append(all, levertrial.Run(levertrial.Cases(d)[0], env, levertrial.Default).History.Exchanges()...)
		})
	}
	return leverreport.Summarize(all).Rows[leverid.Urgent].P99
}

// TestBounds checks the result of every case with the default policy against
// the bounds.
func TestBounds(t *testing.T) {
	bounds, err := levertrial.Bounds()
	is.New(t).NoErr(err)
	d := deployment("tw-north")
	unloaded := unloadedP99(t, d)
	for _, c := range levertrial.Cases(d) {
		t.Run(c.Name, func(t *testing.T) {
			if testing.Short() && c.Long {
				t.Skip("run without the race detector")
			}
			t.Parallel()
			var r *levertrial.Result
			synctest.Test(t, func(*testing.T) {
				r = levertrial.Run(c, levertrial.Environment{Deployment: d, VMs: 7, Seed: 1}, levertrial.Default)
			})
			for _, b := range []levertrial.Bound{bounds["all"], bounds[c.Name]} {
				for _, text := range b.Check(r, unloaded) {
					t.Error(text)
				}
			}
			for _, v := range r.Violations {
				t.Error(v)
			}
		})
	}
}

// TestNoFaults checks that every request gets a complete answer under normal
// load without faults.
func TestNoFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deployment("tw-north")
		r := levertrial.Run(levertrial.Cases(d)[0], levertrial.Environment{Deployment: d, VMs: 7, Seed: 1}, levertrial.Default)
		is.Equal(len(r.Violations), 0)
		for _, row := range r.Report.Rows {
			is.Equal(row.Sent, row.Whole)
		}
	})
}
