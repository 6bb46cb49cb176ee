package main

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"arbutuslever.dev/lever/pkg/leverapi"
	"arbutuslever.dev/lever/pkg/leverclient"
)

type query struct {
	cli
	Rank     string `long:"rank" default:"routine" choice:"urgent" choice:"routine" choice:"bulk" description:"rank of the query"`
	Deadline int64  `long:"deadline-ms" default:"1000" description:"time limit for the answer in milliseconds"`
	ID       string `long:"request-id" description:"request id, the same for resends"`
	Once     bool   `long:"not-repeatable" description:"run at most once; needs --request-id and --shard-key"`
	ShardKey string `long:"shard-key" description:"key of a request that is not repeatable"`
	Limit    int    `long:"limit" description:"maximum number of records"`
	Page     string `long:"page" description:"page token of an earlier answer"`
	Body     string `long:"body" default:"{}" description:"JSON body passed to the upstreams"`
	Args     struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"true" required:"true"`
}

// Execute sends the query and prints the answer.
func (c *query) Execute([]string) error {
	q := leverapi.Query{
		RequestID: c.ID, Rank: leverapi.Rank(c.Rank), DeadlineMS: &c.Deadline, NotRepeatable: c.Once,
		Key: c.ShardKey, Limit: c.Limit, Page: c.Page, Body: json.RawMessage(c.Body),
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	begin := time.Now()
	client := leverclient.Client{Addresses: c.addresses()}
	a, err := client.Query(ctx, c.Args.Service, q)
	if err != nil {
		return c.refused(err)
	}
	if c.printJSON(a) {
		return nil
	}
	c.printf("%d records of snapshot %d, %d of %d shards, %d attempts, by %s in %s\n", len(a.Records), a.Snapshot,
		a.Coverage.Covered, a.Coverage.Total, a.Attempts, a.VM, time.Since(begin).Round(100*time.Microsecond))
	if !a.Coverage.Whole() {
		c.printf("missing shards %v, partial shards %v\n", a.Coverage.Missing, a.Coverage.Partial)
	}
	for _, r := range a.Records {
		c.printf("  %s %d %s\n", r.Key, r.Revision, r.Value)
	}
	if a.Page != "" {
		c.printf("more: --page %s\n", a.Page)
	}
	return nil
}

func (c *query) refused(err error) error {
	var p *leverapi.Problem
	if errors.As(err, &p) {
		c.printJSON(p)
		return exitErrorf(exitRefused, "refused: %v", p)
	}
	return exitErrorf(exitUnavailable, "%v", err)
}
