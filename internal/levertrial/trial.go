// Package levertrial measures the system under load and faults. It runs a case
// with a configuration in virtual time and reports the result of each rank.
package levertrial

import (
	"time"

	"arbutuslever.dev/lever/internal/leverhistory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/leverreport"
	"arbutuslever.dev/lever/internal/levertest"
)

// Policy is the name of a configuration to compare.
type Policy string

// The policies.
const (
	// Default is the default configuration of the product.
	Default Policy = "policy"
	// Baseline disables extra attempts: no hedges and no retries.
	Baseline Policy = "baseline"
)

var policyDocuments = map[Policy]string{
	Default:  `{}`,
	Baseline: `{"system": {"extra-part": 0, "extra-slack": 0}}`,
}

// Case is a scenario to measure.
type Case struct {
	Name        string
	Description string
	// Loads are sent from the start. Measured is the prefix of the ids of the
	// requests in the report; an empty prefix selects all requests.
	Loads    []levertest.Load
	Measured string
	// Fault runs concurrently with the loads. It may be nil.
	Fault func(*levertest.System)
	// FaultEnd is when the fault ends, as time since the first request. Zero
	// means that it does not end.
	FaultEnd time.Duration
	// Long marks a case with so many requests that it is skipped in short mode.
	Long bool
	// CutsAllowed permits exchanges that end with a transport error, for cases
	// that kill VMs.
	CutsAllowed bool
}

// Environment describes the fleet in which a case runs.
type Environment struct {
	Deployment levermodel.Deployment
	VMs        int
	Seed       uint64
}

// Result is the outcome of one run of a case.
type Result struct {
	Case   string
	Policy Policy
	Report *leverreport.Report
	// RecoveryTime is the time from the end of the fault until the send of the
	// last request without a complete answer.
	RecoveryTime time.Duration
	// Goodput is the rate of complete answers by rank, in answers per second.
	Goodput [leverid.RankCount]float64
	// Runs is the number of runs at upstreams, Wasted the number of those that
	// contributed to no answer.
	Runs, Wasted int
	// PeakConnectionUse is the highest fraction of its connection limit that an
	// upstream reached.
	PeakConnectionUse float64
	// Refused is the number of connections that were refused because of the
	// limit.
	Refused    int
	Counters   map[string]int64
	Violations []leverhistory.Violation
	History    *leverhistory.History
}

// Run runs a case. It must be called in virtual time.
func Run(c Case, env Environment, p Policy) *Result {
	sys := levertest.NewSystem(levertest.Options{
		Deployment: env.Deployment, VMs: env.VMs, Seed: env.Seed, Document: policyDocuments[p],
		Behaviour: levermodel.Behaviour{
			Sigma: workSigma, Cold: coldTime, ColdFactor: coldFactor, Restart: restartTime,
		},
		Backlog: backlog,
	})
	sys.WaitReady()
	time.Sleep(settleTime)
	f := &faultRunner{system: sys, inject: c.Fault, done: make(chan struct{})}
	go f.run()
	sys.Run(c.Loads...)
	<-f.done
	time.Sleep(settleTime)
	counters := sumCounters(sys)
	sys.Close()
	return summarize(c, p, sys, counters)
}

const (
	// workSigma is the sigma of the lognormal processing time.
	workSigma = 0.4
	// A started upstream is coldFactor times slower at first. The factor falls
	// to 1 over coldTime.
	coldTime   = 2 * time.Second
	coldFactor = 4
	// restartTime is how long an upstream is down after a crash.
	restartTime = 2 * time.Second
	// backlog is the maximum number of requests in the queue of an upstream.
	backlog = 4
	// settleTime is the pause before the load and after the end of the load and
	// the fault, for work in progress to end.
	settleTime = 3 * time.Second
)

// faultRunner runs the faultRunner of a case concurrently with its loads.
type faultRunner struct {
	system *levertest.System
	inject func(*levertest.System)
	done   chan struct{}
}

func (f *faultRunner) run() {
	defer close(f.done)
	if f.inject != nil {
		f.inject(f.system)
	}
}

func sumCounters(s *levertest.System) map[string]int64 {
	out := make(map[string]int64)
	for _, n := range s.Nodes() {
		for k, v := range n.Counters().Snapshot() {
			out[k] += v
		}
	}
	return out
}
