package leverhistory

import (
	"fmt"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/pkg/leverapi"
)

// Rule names one thing that must always hold, in kebab case.
type Rule string

// The rules.
const (
	// OneSnapshot: every record of an answer comes from the answer's snapshot.
	OneSnapshot Rule = "one-snapshot"
	// TrueCoverage: each shard is covered, missing or partial, and the answer
	// holds all records of covered shards and none of missing ones.
	TrueCoverage Rule = "true-coverage"
	// OwnAnswer: an answer belongs to its request, and no record comes twice.
	OwnAnswer Rule = "own-answer"
	// NotRunHonest: a request all of whose sends were refused as not run was
	// run by no upstream.
	NotRunHonest Rule = "not-run-honest"
	// AtMostOnce: a request that is not repeatable ran at most once.
	AtMostOnce Rule = "at-most-once"
	// AnsweredRan: an answered request that is not repeatable ran.
	AnsweredRan Rule = "answered-ran"
	// NoWorkAfterDrain: an upstream that is leaving gets no new work after a
	// few seconds.
	NoWorkAfterDrain Rule = "no-work-after-drain"
	// ConfigForward: no VM puts a lower version in force.
	ConfigForward Rule = "config-forward"
	// NothingCut: no exchange ended without an answer or a refusal.
	NothingCut Rule = "nothing-cut"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule    Rule
	Subject string
	Detail  string
}

// String returns the rule, the subject and the detail.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail) }

// drainGrace is how long after its first sign an upstream may get new work.
const drainGrace = 3 * time.Second

// Checker holds what a check needs to know besides the history.
type Checker struct {
	// CutsAllowed permits exchanges that were cut, for runs that kill VMs.
	CutsAllowed bool
	// ModelData checks records against those of levermodel.
	ModelData bool
}

// Check returns all violations in a history.
func (c Checker) Check(h *History) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := &checking{Checker: c, history: h, runs: make(map[leverid.RequestID][]levermodel.Run)}
	for _, r := range h.runs {
		k.runs[r.Request] = append(k.runs[r.Request], r)
	}
	for i := range h.exchanges {
		k.exchange(&h.exchanges[i])
	}
	k.requests()
	k.drains()
	k.configs()
	return k.found
}

type checking struct {
	Checker
	history *History
	runs    map[leverid.RequestID][]levermodel.Run
	found   []Violation
}

func (k *checking) breach(r Rule, subject any, format string, args ...any) {
	k.found = append(k.found, Violation{r, fmt.Sprint(subject), fmt.Sprintf(format, args...)})
}

func (k *checking) exchange(x *Exchange) {
	if x.Cut != "" && !k.CutsAllowed {
		k.breach(NothingCut, x.ID, "%s", x.Cut)
	}
	if x.Answer == nil {
		return
	}
	if x.Answer.RequestID != string(x.ID) {
		k.breach(OwnAnswer, x.ID, "answer to %q", x.Answer.RequestID)
	}
	k.records(x)
	k.coverage(x)
}

func (k *checking) records(x *Exchange) {
	seen := make(map[string]bool, len(x.Answer.Records))
	for _, r := range x.Answer.Records {
		if seen[r.Key] {
			k.breach(OwnAnswer, x.ID, "record %q twice", r.Key)
		}
		seen[r.Key] = true
		if k.ModelData && r.Revision != x.Answer.Snapshot {
			k.breach(OneSnapshot, x.ID, "record %q of version %d in snapshot %d", r.Key, r.Revision, x.Answer.Snapshot)
		}
	}
}

func (k *checking) coverage(x *Exchange) {
	c := x.Answer.Coverage
	if c.Covered+len(c.Missing)+len(c.Partial) != c.Total || c.Total == 0 {
		k.breach(TrueCoverage, x.ID, "%d covered, %d missing and %d partial of %d", c.Covered, len(c.Missing), len(c.Partial), c.Total)
		return
	}
	if !k.ModelData || x.Once || x.Paged {
		return
	}
	left := make(map[int]bool)
	for _, s := range c.Missing {
		left[s] = true
	}
	partial := make(map[int]bool)
	for _, s := range c.Partial {
		partial[s] = true
	}
	k.shardRecords(x, left, partial)
}

func (k *checking) shardRecords(x *Exchange, missing, partial map[int]bool) {
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
			k.breach(TrueCoverage, x.ID, "record %q of missing shard %d", key, shard)
		case !missing[shard] && !have[key]:
			k.breach(TrueCoverage, x.ID, "record %q of covered shard %d is not there", key, shard)
		}
	}
}

// requests checks the rules that look at all sends of one request.
func (k *checking) requests() {
	type fate struct {
		once, answered, onlyNotRun bool
	}
	fates := make(map[leverid.RequestID]*fate)
	for i := range k.history.exchanges {
		x := &k.history.exchanges[i]
		f := fates[x.ID]
		if f == nil {
			f = &fate{onlyNotRun: true}
			fates[x.ID] = f
		}
		f.once = f.once || x.Once
		f.answered = f.answered || x.Answer != nil
		f.onlyNotRun = f.onlyNotRun && x.Problem != nil && x.Problem.RunState == leverapi.NotRun
	}
	for id, f := range fates {
		n := len(k.runs[id])
		if f.onlyNotRun && n > 0 {
			k.breach(NotRunHonest, id, "%d runs", n)
		}
		if f.once && n > 1 {
			k.breach(AtMostOnce, id, "%d runs", n)
		}
		if f.once && f.answered && n == 0 {
			k.breach(AnsweredRan, id, "no run")
		}
	}
}

func (k *checking) drains() {
	for _, d := range k.history.drains {
		for _, r := range k.history.runs {
			if r.Upstream == d.Upstream && r.At.After(d.At.Add(drainGrace)) {
				k.breach(NoWorkAfterDrain, d.Upstream, "run %s later", r.At.Sub(d.At))
			}
		}
	}
}

func (k *checking) configs() {
	last := make(map[string]int)
	for _, e := range k.history.events {
		if e.Kind == string(leverevent.Started) {
			last[e.VM] = 0
		}
		if e.Kind != string(leverevent.ConfigInForce) {
			continue
		}
		var v int
		if _, err := fmt.Sscan(e.Subject, &v); err != nil || v <= last[e.VM] {
			k.breach(ConfigForward, e.VM, "version %q after %d", e.Subject, last[e.VM])
		}
		last[e.VM] = v
	}
}
