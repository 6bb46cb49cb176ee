package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverhistory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverreport"
	"arbutuslever.dev/lever/pkg/leverapi"
	"arbutuslever.dev/lever/pkg/leverclient"
)

type trial struct {
	cli
	Load     []string      `long:"load" required:"true" value-name:"SERVICE:RANK:RATE" description:"queries per second of one rank to one service; may be given several times; RANK once sends requests that are not repeatable"`
	Duration time.Duration `long:"duration" default:"5s" description:"duration of the load"`
	Deadline int64         `long:"deadline-ms" default:"1000" description:"deadline of each query in milliseconds"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrival times"`
	History  string        `long:"history" value-name:"FILE" description:"write the recorded exchanges to FILE"`
	Label    string        `long:"label" default:"trial" description:"prefix of the request ids"`
}

// Execute sends the load and prints a report by rank.
func (c *trial) Execute([]string) error {
	var generators []*generator
	h := &leverhistory.History{}
	for i, text := range c.Load {
		g, err := c.parseLoad(text, i, h)
		if err != nil {
			return err
		}
		generators = append(generators, g)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, g := range generators {
		g.wg = &wg
		wg.Add(1)
		go g.run(ctx)
	}
	wg.Wait()
	if c.History != "" {
		if err := writeHistory(c.History, h); err != nil {
			return err
		}
	}
	report := leverreport.Summarize(h.Exchanges())
	if !c.printJSON(report) {
		c.printf("%s", report.Text())
	}
	return nil
}

func writeHistory(path string, h *leverhistory.History) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := h.WriteExchanges(f); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}

func (c *trial) parseLoad(text string, n int, h *leverhistory.History) (*generator, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return nil, fmt.Errorf("load %q: want SERVICE:RANK:RATE", text)
	}
	g := &generator{trial: c, history: h, service: parts[0], number: n, rng: rand.New(rand.NewPCG(c.Seed, uint64(n)))}
	g.client = &leverclient.Client{Addresses: c.addresses(), Resends: 0}
	if parts[1] == "once" {
		g.once = true
		parts[1] = "routine"
	}
	rank, err := leverid.ParseRank(parts[1])
	if err != nil {
		return nil, err
	}
	g.rank = rank
	g.rate, err = strconv.ParseFloat(parts[2], 64)
	if err != nil || g.rate <= 0 {
		return nil, fmt.Errorf("load %q: the rate must be a positive number", text)
	}
	return g, nil
}

// generator sends queries of one rank to one service as a Poisson process.
type generator struct {
	trial   *trial
	history *leverhistory.History
	client  *leverclient.Client
	service string
	rank    leverid.Rank
	rate    float64 // queries per second
	once    bool
	number  int // index of the load, part of the request ids
	rng     *rand.Rand
	wg      *sync.WaitGroup
}

func (g *generator) run(ctx context.Context) {
	defer g.wg.Done()
	// Send times are scheduled in advance, so that a late send does not delay
	// those after it.
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(g.rng.ExpFloat64() / g.rate * float64(time.Second)))
		t := time.NewTimer(time.Until(next))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		s := &loadQuery{generator: g, id: fmt.Sprintf("%s-%d-%d", g.trial.Label, g.number, n)}
		g.wg.Add(1)
		go s.run()
	}
}

// loadQuery is one query sent by a generator.
type loadQuery struct {
	generator *generator
	id        string
}

func (s *loadQuery) run() {
	g := s.generator
	defer g.wg.Done()
	q := leverapi.Query{
		RequestID: s.id, Rank: leverapi.Rank(g.rank.String()), DeadlineMS: &g.trial.Deadline,
		NotRepeatable: g.once, Key: s.shardKey(),
	}
	if g.once {
		q.Body = []byte(`{"record":"` + s.id + `"}`)
	}
	timeout := time.Duration(g.trial.Deadline)*time.Millisecond + 2*time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	x := leverhistory.Exchange{
		Service: leverid.ServiceID(g.service), ID: leverid.RequestID(s.id), Rank: g.rank, Once: g.once, Sent: time.Now(),
	}
	a, err := g.client.Query(ctx, g.service, q)
	x.Took = time.Since(x.Sent)
	x.Answer = a
	var p *leverapi.Problem
	switch {
	case errors.As(err, &p):
		x.Problem = p
	case err != nil:
		x.Cut = err.Error()
	}
	g.history.Add(x)
}

func (s *loadQuery) shardKey() string {
	if s.generator.once {
		return s.id
	}
	return ""
}

type verify struct {
	cli
	History []string `long:"history" required:"true" value-name:"FILE" description:"history written by a trial; may be given several times"`
	Runs    string   `long:"runs" value-name:"FILE" description:"run log of the upstreams"`
	Cuts    bool     `long:"cuts-allowed" description:"allow exchanges that ended without an answer, for trials that kill VMs"`
	Events  bool     `long:"events" description:"also check the events of all VMs"`
}

// Execute checks the recorded files and prints all violations.
func (c *verify) Execute([]string) error {
	h := &leverhistory.History{}
	for _, path := range c.History {
		if err := readFile(path, h.ReadExchanges); err != nil {
			return err
		}
	}
	if c.Runs != "" {
		if err := readFile(c.Runs, h.ReadRuns); err != nil {
			return err
		}
	}
	if c.Events {
		t := &timeline{cli: c.cli}
		events, _ := t.collect()
		h.AddEvents(events)
	}
	violations := leverhistory.Checker{CutsAllowed: c.Cuts, ModelData: true}.Check(h)
	for _, v := range violations {
		c.printf("%s\n", v)
	}
	c.printf("%d exchanges, %d runs, %d violations\n", len(h.Exchanges()), len(h.Runs()), len(violations))
	if len(violations) > 0 {
		return exitErrorf(exitViolation, "%d violations", len(violations))
	}
	return nil
}

func readFile(path string, read func(io.Reader) error) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(read(f), f.Close())
}
