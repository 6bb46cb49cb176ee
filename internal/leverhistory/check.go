package leverhistory

import (
	"fmt"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/pkg/leverapi"
)

// Rule is the name of an invariant, in kebab case.
type Rule string

// The rules.
const (
	// OneSnapshot: every record of an answer comes from the answer's snapshot.
	OneSnapshot Rule = "one-snapshot"
	// TrueCoverage: each shard is reported as covered, missing or partial, and
	// the answer holds all records of covered shards and none of missing ones.
	TrueCoverage Rule = "true-coverage"
	// OwnAnswer: an answer carries the id of its request, and no record occurs
	// twice in it.
	OwnAnswer Rule = "own-answer"
	// NotRunHonest: if every send of a request was refused as not run, no
	// upstream ran the request.
	NotRunHonest Rule = "not-run-honest"
	// AtMostOnce: a request that is not repeatable ran at most once.
	AtMostOnce Rule = "at-most-once"
	// AnsweredRan: a request that is not repeatable and was answered ran.
	AnsweredRan Rule = "answered-ran"
	// NoWorkAfterDrain: a draining upstream receives no new work after
	// drainGrace.
	NoWorkAfterDrain Rule = "no-work-after-drain"
	// ConfigForward: the configuration version in force on a VM only increases
	// while its process runs.
	ConfigForward Rule = "config-forward"
	// NothingCut: no exchange ended without an answer or a refusal.
	NothingCut Rule = "nothing-cut"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule
	Subject string
	Detail  string
}

// String returns the rule, the subject and the detail, separated by colons.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail) }

// drainGrace is how long an upstream may receive new work after its first
// indication that it is draining.
const drainGrace = 3 * time.Second

// Checker holds the options of a check.
type Checker struct {
	// CutsAllowed permits exchanges that ended with a transport error, for runs
	// that kill VMs.
	CutsAllowed bool
	// ModelData compares records with the data set of levermodel, in which the
	// revision of a record is the version of its snapshot. OneSnapshot and the
	// records of TrueCoverage are checked only then.
	ModelData bool
}

// Check returns all violations in h.
func (c Checker) Check(h *History) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := &checkRun{Checker: c, history: h, runs: make(map[leverid.RequestID][]levermodel.Run)}
	for _, r := range h.runs {
		k.runs[r.Request] = append(k.runs[r.Request], r)
	}
	for i := range h.exchanges {
		k.exchange(&h.exchanges[i])
	}
	k.requests()
	k.drains()
	k.configs()
	return k.violations
}

// checkRun is the state of one check of a history.
type checkRun struct {
	Checker
	history    *History
	runs       map[leverid.RequestID][]levermodel.Run
	violations []Violation
}

func (c *checkRun) reportf(r Rule, subject any, format string, args ...any) {
	c.violations = append(c.violations, Violation{r, fmt.Sprint(subject), fmt.Sprintf(format, args...)})
}

func (c *checkRun) exchange(x *Exchange) {
	if x.Cut != "" && !c.CutsAllowed {
		c.reportf(NothingCut, x.ID, "%s", x.Cut)
	}
	if x.Answer == nil {
		return
	}
	if x.Answer.RequestID != string(x.ID) {
		c.reportf(OwnAnswer, x.ID, "answer to %q", x.Answer.RequestID)
	}
	c.records(x)
	c.coverage(x)
}

func (c *checkRun) records(x *Exchange) {
	seen := make(map[string]bool, len(x.Answer.Records))
	for _, r := range x.Answer.Records {
		if seen[r.Key] {
			c.reportf(OwnAnswer, x.ID, "record %q twice", r.Key)
		}
		seen[r.Key] = true
		if c.ModelData && r.Revision != x.Answer.Snapshot {
			c.reportf(OneSnapshot, x.ID, "record %q of version %d in an answer of snapshot %d", r.Key, r.Revision, x.Answer.Snapshot)
		}
	}
}

func (c *checkRun) coverage(x *Exchange) {
	cov := x.Answer.Coverage
	if cov.Covered+len(cov.Missing)+len(cov.Partial) != cov.Total || cov.Total == 0 {
		c.reportf(TrueCoverage, x.ID, "%d covered, %d missing and %d partial of %d shards", cov.Covered, len(cov.Missing), len(cov.Partial), cov.Total)
		return
	}
	if !c.ModelData || x.Once || x.Paged {
		return
	}
	missing := make(map[int]bool)
	for _, s := range cov.Missing {
		missing[s] = true
	}
	partial := make(map[int]bool)
	for _, s := range cov.Partial {
		partial[s] = true
	}
	c.shardRecords(x, missing, partial)
}

// shardRecords checks that the answer holds the records of all covered shards
// and no records of missing ones.
func (c *checkRun) shardRecords(x *Exchange, missing, partial map[int]bool) {
	have := make(map[string]bool, len(x.Answer.Records))
	for _, r := range x.Answer.Records {
		have[r.Key] = true
	}
	total := x.Answer.Coverage.Total
	for n := range levermodel.RecordCount(total) {
		shard := int(levermodel.ShardOf(n, total))
		key := levermodel.Key(x.Service, n)
		switch {
		case partial[shard]:
		case missing[shard] && have[key]:
			c.reportf(TrueCoverage, x.ID, "record %q of missing shard %d", key, shard)
		case !missing[shard] && !have[key]:
			c.reportf(TrueCoverage, x.ID, "record %q of covered shard %d is absent", key, shard)
		}
	}
}

// requests checks the rules that concern all sends of one request together.
func (c *checkRun) requests() {
	type outcome struct {
		once, answered, onlyNotRun bool
	}
	outcomes := make(map[leverid.RequestID]*outcome)
	for i := range c.history.exchanges {
		x := &c.history.exchanges[i]
		o := outcomes[x.ID]
		if o == nil {
			o = &outcome{onlyNotRun: true}
			outcomes[x.ID] = o
		}
		o.once = o.once || x.Once
		o.answered = o.answered || x.Answer != nil
		o.onlyNotRun = o.onlyNotRun && x.Problem != nil && x.Problem.RunState == leverapi.NotRun
	}
	for id, o := range outcomes {
		n := len(c.runs[id])
		if o.onlyNotRun && n > 0 {
			c.reportf(NotRunHonest, id, "%d runs", n)
		}
		if o.once && n > 1 {
			c.reportf(AtMostOnce, id, "%d runs", n)
		}
		if o.once && o.answered && n == 0 {
			c.reportf(AnsweredRan, id, "answered without a run")
		}
	}
}

func (c *checkRun) drains() {
	for _, d := range c.history.drains {
		for _, r := range c.history.runs {
			if r.Upstream == d.Upstream && r.At.After(d.At.Add(drainGrace)) {
				c.reportf(NoWorkAfterDrain, d.Upstream, "run %s after the drain started", r.At.Sub(d.At))
			}
		}
	}
}

func (c *checkRun) configs() {
	last := make(map[string]int)
	for _, e := range c.history.events {
		// A restarted process has no configuration in force yet.
		if e.Kind == string(leverevent.Started) {
			last[e.VM] = 0
		}
		if e.Kind != string(leverevent.ConfigInForce) {
			continue
		}
		var v int
		if _, err := fmt.Sscan(e.Subject, &v); err != nil || v <= last[e.VM] {
			c.reportf(ConfigForward, e.VM, "version %q after %d", e.Subject, last[e.VM])
		}
		last[e.VM] = v
	}
}
