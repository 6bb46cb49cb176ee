package leverclient_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"arbutuslever.dev/lever/pkg/leverapi"
	"arbutuslever.dev/lever/pkg/leverclient"
)

// entryVM starts a test server that acts as an entry VM and returns the answers
// in turn.
func entryVM(answers ...string) (address string, stop func()) {
	n := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body := answers[min(n, len(answers)-1)]
		n++
		if strings.Contains(body, "urn:") {
			w.WriteHeader(http.StatusTooManyRequests)
		}
		fmt.Fprint(w, body)
	}))
	return strings.TrimPrefix(s.URL, "http://"), s.Close
}

func ExampleClient_Query() {
	address, stop := entryVM(`{"records": [{"key": "detector-7", "revision": 3}], "snapshot": 9,
		"coverage": {"covered": 2, "total": 2}}`)
	defer stop()

	c := leverclient.Client{Addresses: []string{address}}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	a, err := c.Query(ctx, "portal-01", leverapi.Query{Rank: leverapi.Urgent, RequestID: "r-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(a.Records[0].Key, "of snapshot", a.Snapshot, "whole:", a.Coverage.Whole())
	// Output: detector-7 of snapshot 9 whole: true
}

// A refusal states whether the request may have run. The client sends the
// request again only if that is safe.
func ExampleClient_Query_refused() {
	const refused = `{"type": "urn:arbutuslever:problem:overloaded", "run-state": "not-run", "retry-after-ms": 1}`
	const unknown = `{"type": "urn:arbutuslever:problem:outcome-unknown", "run-state": "may-have-run"}`
	address, stop := entryVM(refused, unknown)
	defer stop()

	c := leverclient.Client{Addresses: []string{address}, Resends: 3}
	q := leverapi.Query{Rank: leverapi.Routine, RequestID: "booking-1", NotRepeatable: true, Key: "round-12"}
	_, err := c.Query(context.Background(), "rounds", q)
	var p *leverapi.Problem
	if errors.As(err, &p) {
		fmt.Println(p.Reason(), p.RunState)
	}
	// Output: outcome-unknown may-have-run
}
