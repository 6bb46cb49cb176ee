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
	shell
	Load     []string      `long:"load" required:"true" value-name:"SERVICE:RANK:RATE" description:"queries a second of one rank to one service; may be repeated; RANK once sends requests that are not repeatable"`
	Duration time.Duration `long:"duration" default:"5s" description:"how long to send"`
	Deadline int64         `long:"deadline-ms" default:"1000" description:"deadline of each query"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrival times"`
	History  string        `long:"history" value-name:"FILE" description:"write what was sent and got"`
	Label    string        `long:"label" default:"trial" description:"prefix of the request ids"`
}

// Execute sends the load and prints a table by rank.
func (c *trial) Execute([]string) error {
	var loads []*load
	h := &leverhistory.History{}
	for i, text := range c.Load {
		l, err := c.parseLoad(text, i, h)
		if err != nil {
			return err
		}
		loads = append(loads, l)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, l := range loads {
		l.wg = &wg
		wg.Add(1)
		go l.run(ctx)
	}
	wg.Wait()
	if c.History != "" {
		if err := writeHistory(c.History, h); err != nil {
			return err
		}
	}
	report := leverreport.Of(h.Exchanges())
	if !c.show(report) {
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

func (c *trial) parseLoad(text string, n int, h *leverhistory.History) (*load, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return nil, fmt.Errorf("load %q: want SERVICE:RANK:RATE", text)
	}
	l := &load{trial: c, history: h, service: parts[0], number: n, rng: rand.New(rand.NewPCG(c.Seed, uint64(n)))}
	l.client = &leverclient.Client{Addresses: c.addresses(), Resends: 0}
	if parts[1] == "once" {
		l.once = true
		parts[1] = "routine"
	}
	rank, err := leverid.ParseRank(parts[1])
	if err != nil {
		return nil, err
	}
	l.rank = rank
	l.rate, err = strconv.ParseFloat(parts[2], 64)
	if err != nil || l.rate <= 0 {
		return nil, fmt.Errorf("load %q: rate", text)
	}
	return l, nil
}

// load sends queries of one rank to one service at random times.
type load struct {
	trial   *trial
	history *leverhistory.History
	client  *leverclient.Client
	service string
	rank    leverid.Rank
	rate    float64
	once    bool
	number  int
	rng     *rand.Rand
	wg      *sync.WaitGroup
}

func (l *load) run(ctx context.Context) {
	defer l.wg.Done()
	// The times are fixed beforehand: a send that comes late is not followed
	// by a later one.
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(l.rng.ExpFloat64() / l.rate * float64(time.Second)))
		t := time.NewTimer(time.Until(next))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		s := &shot{load: l, id: fmt.Sprintf("%s-%d-%d", l.trial.Label, l.number, n)}
		l.wg.Add(1)
		go s.run()
	}
}

// shot is one query of a load.
type shot struct {
	load *load
	id   string
}

func (s *shot) run() {
	l := s.load
	defer l.wg.Done()
	q := leverapi.Query{
		RequestID: s.id, Rank: leverapi.Rank(l.rank.String()), DeadlineMS: &l.trial.Deadline,
		NotRepeatable: l.once, Key: s.key(),
	}
	if l.once {
		q.Body = []byte(`{"record":"` + s.id + `"}`)
	}
	limit := time.Duration(l.trial.Deadline)*time.Millisecond + 2*time.Second
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	x := leverhistory.Exchange{
		Service: leverid.ServiceID(l.service), ID: leverid.RequestID(s.id), Rank: l.rank, Once: l.once, Sent: time.Now(),
	}
	a, err := l.client.Query(ctx, l.service, q)
	x.Took = time.Since(x.Sent)
	x.Answer = a
	var p *leverapi.Problem
	switch {
	case errors.As(err, &p):
		x.Problem = p
	case err != nil:
		x.Cut = err.Error()
	}
	l.history.Add(x)
}

func (s *shot) key() string {
	if s.load.once {
		return s.id
	}
	return ""
}

type verify struct {
	shell
	History []string `long:"history" required:"true" value-name:"FILE" description:"what trials wrote"`
	Runs    string   `long:"runs" value-name:"FILE" description:"run log of the upstreams"`
	Cuts    bool     `long:"cuts-allowed" description:"permit exchanges that were cut, for trials that kill VMs"`
	Events  bool     `long:"events" description:"check the time lines of the VMs too"`
}

// Execute checks the files and prints every breach.
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
		t := &timeline{shell: c.shell}
		events, _ := t.gather()
		h.AddEvents(events)
	}
	found := leverhistory.Checker{CutsAllowed: c.Cuts, ModelData: true}.Check(h)
	for _, v := range found {
		c.printf("%s\n", v)
	}
	c.printf("%d exchanges, %d runs, %d violations\n", len(h.Exchanges()), len(h.Runs()), len(found))
	if len(found) > 0 {
		return exitWith(exitViolation, "%d violations", len(found))
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
