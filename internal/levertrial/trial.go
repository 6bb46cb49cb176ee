// Package levertrial measures the product under load and faults: it runs one
// case with a configuration, in virtual time, and reports what each rank got.
package levertrial

import (
	"time"

	"arbutuslever.dev/lever/internal/leverhistory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/leverreport"
	"arbutuslever.dev/lever/internal/levertest"
)

// Policy names a configuration to compare.
type Policy string

// The policies.
const (
	// Chosen is the default configuration.
	Chosen Policy = "policy"
	// Plain makes no attempt beside or after the first ones.
	Plain Policy = "baseline"
)

var documents = map[Policy]string{
	Chosen: `{}`,
	Plain:  `{"system": {"extra-part": 0, "extra-slack": 0}}`,
}

// Case is one situation to measure.
type Case struct {
	Name string
	// What says what happens, in a few words.
	What string
	// Loads are sent from the start; Measured begins the ids of the requests
	// that the report is about, all if it is empty.
	Loads    []levertest.Load
	Measured string
	// Fault runs beside the loads; nil for none.
	Fault func(*levertest.System)
	// TriggerEnd is when the fault is over, zero if it never is.
	TriggerEnd time.Duration
	// Long marks a case with so many requests that it takes long.
	Long bool
	// CutsAllowed permits cut exchanges, where VMs are killed.
	CutsAllowed bool
}

// Setting is what a case runs in.
type Setting struct {
	Deployment levermodel.Deployment
	VMs        int
	Seed       uint64
}

// Result is what one run of a case gave.
type Result struct {
	Case   string
	Policy Policy
	Report *leverreport.Report
	// Back is how long after the trigger's end the last answer was missing.
	Back time.Duration
	// Goodput is whole answers per second, by rank.
	Goodput [leverid.RankCount]float64
	// Runs counts what upstreams ran, Wasted the runs whose work served no
	// answer.
	Runs, Wasted int
	// MostConnections is the highest part of its connection limit that an
	// upstream saw, Refused the connections beyond limits.
	MostConnections float64
	Refused         int
	Counters        map[string]int64
	Violations      []leverhistory.Violation
	History         *leverhistory.History
}

// Run runs a case. It must be called in virtual time.
func Run(c Case, s Setting, p Policy) *Result {
	sys := levertest.NewSystem(levertest.Options{
		Deployment: s.Deployment, VMs: s.VMs, Seed: s.Seed, Document: documents[p],
		Behaviour: levermodel.Behaviour{
			Sigma: workSigma, Cold: coldTime, ColdFactor: coldFactor, Restart: restartTime,
		},
		Backlog: backlog,
	})
	sys.Settle()
	time.Sleep(settleTime)
	f := &fault{system: sys, act: c.Fault, done: make(chan struct{})}
	go f.run()
	sys.Run(c.Loads...)
	<-f.done
	time.Sleep(settleTime)
	counters := sumCounters(sys)
	sys.Close()
	return summarize(c, p, sys, counters)
}

const (
	workSigma   = 0.4
	coldTime    = 2 * time.Second
	coldFactor  = 4
	restartTime = 2 * time.Second
	// backlog is the number of requests that an upstream lets wait.
	backlog    = 4
	settleTime = 3 * time.Second
)

// fault runs a case's fault beside its loads.
type fault struct {
	system *levertest.System
	act    func(*levertest.System)
	done   chan struct{}
}

func (f *fault) run() {
	defer close(f.done)
	if f.act != nil {
		f.act(f.system)
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
