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

// good is an answer that keeps every rule.
func good(id string) leverhistory.Exchange {
	a := &leverapi.Answer{RequestID: id, Snapshot: 7, Coverage: leverapi.Coverage{Covered: 2, Total: 2}}
	for n := range levermodel.RecordCount(2) {
		a.Records = append(a.Records, leverapi.Record{Key: levermodel.Key("s", n), Revision: 7})
	}
	return leverhistory.Exchange{Service: "s", ID: leverid.RequestID(id), Answer: a}
}

func refused(id string, run leverapi.RunState) leverhistory.Exchange {
	return leverhistory.Exchange{Service: "s", ID: leverid.RequestID(id), Problem: &leverapi.Problem{RunState: run}}
}

func run(id string) levermodel.Run {
	return levermodel.Run{Request: leverid.RequestID(id), Upstream: "u", At: time.Unix(100, 0)}
}

// TestRulesCatchFaults puts one fault into a history that keeps the rules and
// expects just the rule that it breaks.
func TestRulesCatchFaults(t *testing.T) {
	cases := map[string]struct {
		fault func(h *leverhistory.History)
		want  leverhistory.Rule
	}{
		"record of another version": {func(h *leverhistory.History) {
			x := good("a")
			x.Answer.Records[1].Revision = 6
			h.Add(x)
		}, leverhistory.OneSnapshot},
		"covered shard without its records": {func(h *leverhistory.History) {
			x := good("a")
			x.Answer.Records = x.Answer.Records[1:]
			h.Add(x)
		}, leverhistory.TrueCoverage},
		"record of a missing shard": {func(h *leverhistory.History) {
			x := good("a")
			x.Answer.Coverage = leverapi.Coverage{Covered: 1, Total: 2, Missing: []int{1}}
			x.Answer.Records = x.Answer.Records[:2]
			x.Answer.Records = append(x.Answer.Records, leverapi.Record{Key: levermodel.Key("s", 2), Revision: 7},
				leverapi.Record{Key: levermodel.Key("s", 4), Revision: 7})
			h.Add(x)
		}, leverhistory.TrueCoverage},
		"shards that do not add up": {func(h *leverhistory.History) {
			x := good("a")
			x.Answer.Coverage.Total = 3
			h.Add(x)
		}, leverhistory.TrueCoverage},
		"answer to another request": {func(h *leverhistory.History) {
			x := good("a")
			x.Answer.RequestID = "b"
			h.Add(x)
		}, leverhistory.OwnAnswer},
		"record twice": {func(h *leverhistory.History) {
			x := good("a")
			x.Answer.Records = append(x.Answer.Records, x.Answer.Records[0])
			h.Add(x)
		}, leverhistory.OwnAnswer},
		"run of a request refused as not run": {func(h *leverhistory.History) {
			h.Add(refused("a", leverapi.NotRun))
			h.AddRun(run("a"))
		}, leverhistory.NotRunHonest},
		"second run": {func(h *leverhistory.History) {
			x := refused("a", leverapi.MayHaveRun)
			x.Once = true
			h.Add(x)
			h.AddRun(run("a"))
			h.AddRun(run("a"))
		}, leverhistory.AtMostOnce},
		"answered and never run": {func(h *leverhistory.History) {
			x := good("a")
			x.Once = true
			h.Add(x)
		}, leverhistory.AnsweredRan},
		"work after the drain": {func(h *leverhistory.History) {
			h.AddDrain(leverhistory.Drain{Upstream: "u", At: time.Unix(90, 0)})
			h.AddRun(run("a"))
		}, leverhistory.NoWorkAfterDrain},
		"version that goes back": {func(h *leverhistory.History) {
			h.AddEvents([]leverapi.Event{
				{VM: "vm-1", Kind: "config-in-force", Subject: "4"},
				{VM: "vm-1", Kind: "config-in-force", Subject: "3"},
			})
		}, leverhistory.ConfigForward},
		"exchange that was cut": {func(h *leverhistory.History) {
			h.Add(leverhistory.Exchange{ID: "a", Cut: "EOF"})
		}, leverhistory.NothingCut},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &leverhistory.History{}
			h.Add(good("well"))
			h.Add(refused("well-refused", leverapi.NotRun))
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
	h.Add(good("a"))
	h.Add(refused("b", leverapi.MayHaveRun))
	var b bytes.Buffer
	is.NoErr(h.WriteExchanges(&b))
	cut := bytes.NewReader(append(b.Bytes(), `{"service": "s", "id`...))
	again := &leverhistory.History{}
	is.NoErr(again.ReadExchanges(cut)) // a last line cut off by a kill is passed over
	is.Equal(again.Exchanges(), h.Exchanges())
	is.True(again.ReadExchanges(bytes.NewReader([]byte("{\n{}\n"))) != nil)
}
