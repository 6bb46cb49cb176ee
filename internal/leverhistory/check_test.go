package leverhistory_test

import (
	"bytes"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverhistory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/pkg/leverapi"

	"github.com/matryer/is"
)

// validExchange returns an answered exchange that violates no rule.
func validExchange(id string) leverhistory.Exchange {
	a := &leverapi.Answer{RequestID: id, Snapshot: 7, Coverage: leverapi.Coverage{Covered: 2, Total: 2}}
	for n := range levermodel.RecordCount(2) {
		a.Records = append(a.Records, leverapi.Record{Key: levermodel.Key("s", n), Revision: 7})
	}
	return leverhistory.Exchange{Service: "s", ID: leverid.RequestID(id), Answer: a}
}

func refusedExchange(id string, run leverapi.RunState) leverhistory.Exchange {
	return leverhistory.Exchange{Service: "s", ID: leverid.RequestID(id), Problem: &leverapi.Problem{RunState: run}}
}

func run(id string) levermodel.Run {
	return levermodel.Run{Request: leverid.RequestID(id), Upstream: "u", At: time.Unix(100, 0)}
}

// TestRulesCatchFaults adds one fault to a valid history and checks that only
// the rule for this fault reports violations.
func TestRulesCatchFaults(t *testing.T) {
	cases := map[string]struct {
		fault func(h *leverhistory.History)
		want  leverhistory.Rule
	}{
		"record of another version": {func(h *leverhistory.History) {
			x := validExchange("a")
			x.Answer.Records[1].Revision = 6
			h.Add(x)
		}, leverhistory.OneSnapshot},
		"covered shard without its records": {func(h *leverhistory.History) {
			x := validExchange("a")
			x.Answer.Records = x.Answer.Records[1:]
			h.Add(x)
		}, leverhistory.TrueCoverage},
		"record of a missing shard": {func(h *leverhistory.History) {
			x := validExchange("a")
			x.Answer.Coverage = leverapi.Coverage{Covered: 1, Total: 2, Missing: []int{1}}
			x.Answer.Records = x.Answer.Records[:2]
			x.Answer.Records = append(x.Answer.Records, leverapi.Record{Key: levermodel.Key("s", 2), Revision: 7},
				leverapi.Record{Key: levermodel.Key("s", 4), Revision: 7})
			h.Add(x)
		}, leverhistory.TrueCoverage},
		"shard counts that do not add up": {func(h *leverhistory.History) {
			x := validExchange("a")
			x.Answer.Coverage.Total = 3
			h.Add(x)
		}, leverhistory.TrueCoverage},
		"answer to another request": {func(h *leverhistory.History) {
			x := validExchange("a")
			x.Answer.RequestID = "b"
			h.Add(x)
		}, leverhistory.OwnAnswer},
		"duplicate record": {func(h *leverhistory.History) {
			x := validExchange("a")
			x.Answer.Records = append(x.Answer.Records, x.Answer.Records[0])
			h.Add(x)
		}, leverhistory.OwnAnswer},
		"run of a request refused as not run": {func(h *leverhistory.History) {
			h.Add(refusedExchange("a", leverapi.NotRun))
			h.AddRun(run("a"))
		}, leverhistory.NotRunHonest},
		"second run": {func(h *leverhistory.History) {
			x := refusedExchange("a", leverapi.MayHaveRun)
			x.Once = true
			h.Add(x)
			h.AddRun(run("a"))
			h.AddRun(run("a"))
		}, leverhistory.AtMostOnce},
		"answered without a run": {func(h *leverhistory.History) {
			x := validExchange("a")
			x.Once = true
			h.Add(x)
		}, leverhistory.AnsweredRan},
		"work after the drain": {func(h *leverhistory.History) {
			h.AddDrain(leverhistory.Drain{Upstream: "u", At: time.Unix(90, 0)})
			h.AddRun(run("a"))
		}, leverhistory.NoWorkAfterDrain},
		"version that decreases": {func(h *leverhistory.History) {
			h.AddEvents([]leverapi.Event{
				{VM: "vm-1", Kind: "config-in-force", Subject: "4"},
				{VM: "vm-1", Kind: "config-in-force", Subject: "3"},
			})
		}, leverhistory.ConfigForward},
		"exchange with a transport error": {func(h *leverhistory.History) {
			h.Add(leverhistory.Exchange{ID: "a", Cut: "EOF"})
		}, leverhistory.NothingCut},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &leverhistory.History{}
			h.Add(validExchange("well"))
			h.Add(refusedExchange("well-refused", leverapi.NotRun))
			checker := leverhistory.Checker{ModelData: true}
			is.Equal(len(checker.Check(h)), 0)
			c.fault(h)
			found := checker.Check(h)
			is.True(len(found) > 0)
			for _, v := range found {
				is.Equal(v.Rule, c.want)
			}
		})
	}
}

func TestHistoryFiles(t *testing.T) {
	is := is.New(t)
	h := &leverhistory.History{}
	h.Add(validExchange("a"))
	h.Add(refusedExchange("b", leverapi.MayHaveRun))
	var b bytes.Buffer
	is.NoErr(h.WriteExchanges(&b))
	truncated := bytes.NewReader(append(b.Bytes(), `{"service": "s", "id`...))
	reread := &leverhistory.History{}
	is.NoErr(reread.ReadExchanges(truncated)) // the truncated last line is ignored
	is.Equal(reread.Exchanges(), h.Exchanges())
	is.True(reread.ReadExchanges(bytes.NewReader([]byte("{\n{}\n"))) != nil)
}
