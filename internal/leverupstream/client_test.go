package leverupstream_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/leverupstream"

	"github.com/matryer/is"
)

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func hijack(w http.ResponseWriter) net.Conn {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	return c
}

func TestOutcomes(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    levermsg.Outcome
		run     leverid.RunState
	}{
		"whole":           {answer(200, `{"attempt": 9, "version": 4, "run-state": "may-have-run"}`), levermsg.OK, leverid.MayHaveRun},
		"shed":            {answer(429, `{"attempt": 9, "reason": "shed", "run-state": "not-run"}`), levermsg.Shed, leverid.NotRun},
		"draining":        {answer(503, `{"attempt": 9, "reason": "draining", "run-state": "not-run"}`), levermsg.Draining, leverid.NotRun},
		"failed midway":   {answer(500, `{"attempt": 9, "reason": "failed", "run-state": "may-have-run"}`), levermsg.Failed, leverid.MayHaveRun},
		"unknown reason":  {answer(500, `{"attempt": 9, "reason": "tired", "run-state": "may-have-run"}`), levermsg.Failed, leverid.MayHaveRun},
		"other attempt":   {answer(200, `{"attempt": 8, "version": 4, "run-state": "not-run"}`), levermsg.Mismatch, leverid.MayHaveRun},
		"other version":   {answer(200, `{"attempt": 9, "version": 5, "run-state": "not-run"}`), levermsg.Mismatch, leverid.MayHaveRun},
		"refused, echoes": {answer(429, `{"attempt": 8, "reason": "shed", "run-state": "not-run"}`), levermsg.Mismatch, leverid.MayHaveRun},
		"not JSON":        {answer(200, `<html>`), levermsg.Reset, leverid.MayHaveRun},
		"cut off":         {answer(200, `{"attempt": 9, "vers`), levermsg.Reset, leverid.MayHaveRun},
		"connection ends": {func(w http.ResponseWriter, _ *http.Request) { _ = hijack(w).Close() }, levermsg.Reset, leverid.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.handler)
			defer server.Close()
			client := leverupstream.NewHTTPClient(2)
			defer client.Close()
			u := leversnapshot.Upstream{ID: "u", Address: strings.TrimPrefix(server.URL, "http://")}
			q := levermsg.Query{Version: 4, Deadline: time.Now().Add(time.Minute)}
			res := client.Do(t.Context(), u, &q, levermsg.Item{Attempt: 9})
			is.Equal(res.Outcome, c.want)
			is.Equal(res.Run, c.run)
		})
	}
}

func TestNobodyListens(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	client := leverupstream.NewHTTPClient(2)
	res := client.Do(t.Context(), leversnapshot.Upstream{Address: address}, &levermsg.Query{}, levermsg.Item{})
	is.Equal(res.Outcome, levermsg.Unreachable)
	is.Equal(res.Run, leverid.NotRun) // no byte of the request left
}

// TestCancelReachesTheUpstream ends the attempt's context while it runs.
func TestCancelReachesTheUpstream(t *testing.T) {
	is := is.New(t)
	began, ended := make(chan bool, 1), make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = r.Body.Read(make([]byte, 4096))
		began <- true
		<-r.Context().Done()
		ended <- true
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-began; cancel() }()
	client := leverupstream.NewHTTPClient(2)
	u := leversnapshot.Upstream{Address: strings.TrimPrefix(server.URL, "http://")}
	res := client.Do(ctx, u, &levermsg.Query{}, levermsg.Item{})
	is.Equal(res.Outcome, levermsg.Withdrawn)
	is.Equal(res.Run, leverid.MayHaveRun)
	<-ended
}
