// Package leverentry is the callers' face: HTTP and JSON, with bounded bodies
// and a clear refusal for every bad request.
package leverentry

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverquery"
	"arbutuslever.dev/lever/internal/levertimer"
	"arbutuslever.dev/lever/pkg/leverapi"

	"github.com/juju/errors"
)

const (
	// MaxBody bounds the body of a request in bytes.
	MaxBody = 1 << 20
	maxID   = 200
	// quotaPart of the VM's requests in flight is what one service may take,
	// so that a flood at one does not starve the others.
	quotaPart = 0.5
)

// Face serves callers. Its exported fields must be set before its first use.
type Face struct {
	VM       leverid.VMID
	Engine   *leverquery.Engine
	Timer    *levertimer.Service
	Counters *leverevent.Counters
	Events   *leverevent.Line
	// Document returns the configuration in force.
	Document func() *leverconfig.Document
	// Ready reports whether the VM should get requests, Usable whether it can
	// answer those that come all the same.
	Ready  func() bool
	Usable func() bool
	// Leaving reports whether the VM is stopping.
	Leaving func() bool

	quota quota
}

// Register adds the face's paths to a mux.
func (f *Face) Register(mux *http.ServeMux) {
	mux.Handle("POST /v1/services/{service}/query", f.guard(http.HandlerFunc(f.query)))
	mux.HandleFunc("GET /v1/ready", f.ready)
	mux.HandleFunc("GET /v1/live", f.live)
}

func (f *Face) ready(w http.ResponseWriter, _ *http.Request) {
	if !f.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	f.live(w, nil)
}

func (f *Face) live(w http.ResponseWriter, _ *http.Request) {
	// A caller that is gone needs no answer.
	_, _ = io.WriteString(w, "ok\n")
}

// guard answers a panic of a handler and counts it. While the VM is stopping it
// asks callers not to use their connections again, so that none of them sends on
// one that is being closed.
func (f *Face) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				f.Counters.Add("panics", 1)
				f.Events.Add(leverevent.Panic, r.URL.Path, "")
				f.problem(w, "", &leverquery.Refusal{Reason: "internal", Run: leverid.MayHaveRun})
			}
		}()
		if f.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (f *Face) query(w http.ResponseWriter, r *http.Request) {
	arrived := f.Timer.Now()
	q, err := readQuery(w, r)
	if err != nil {
		f.problem(w, "", &leverquery.Refusal{Reason: leverquery.BadRequest, Detail: err.Error()})
		return
	}
	if !f.Usable() {
		f.problem(w, q.RequestID, &leverquery.Refusal{Reason: leverquery.NotReady, RetryAfter: time.Second})
		return
	}
	service := leverid.ServiceID(r.PathValue("service"))
	req, err := f.request(service, q, arrived)
	if err != nil {
		f.problem(w, q.RequestID, &leverquery.Refusal{Reason: leverquery.BadRequest, Detail: err.Error()})
		return
	}
	limit := int(f.Document().System.MaxInFlight)
	if !f.quota.enter(service, limit) {
		f.problem(w, q.RequestID, &leverquery.Refusal{
			Reason: leverquery.Overloaded, RetryAfter: time.Second, Detail: "too many requests in flight on this VM",
		})
		return
	}
	defer f.quota.leave(service)
	a, err := f.Engine.Run(r.Context(), req)
	if err != nil {
		f.problem(w, q.RequestID, asRefusal(err))
		return
	}
	f.answer(w, q, a)
}

func asRefusal(err error) *leverquery.Refusal {
	var refusal *leverquery.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &leverquery.Refusal{Reason: "internal", Run: leverid.MayHaveRun, Detail: err.Error()}
}

// readQuery reads the body. Unknown members and trailing data are errors.
func readQuery(w http.ResponseWriter, r *http.Request) (*leverapi.Query, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		return nil, errors.BadRequestf("body: %v", err)
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	var q leverapi.Query
	if err := d.Decode(&q); err != nil {
		return nil, errors.BadRequestf("body: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, errors.BadRequestf("body: data after the JSON object")
	}
	return &q, nil
}

// request checks a query and turns it into an engine's request.
func (f *Face) request(service leverid.ServiceID, q *leverapi.Query, arrived time.Time) (*leverquery.Request, error) {
	rank, err := leverid.ParseRank(string(q.Rank))
	if err != nil {
		return nil, err
	}
	settings := f.Document().Service(service)
	wait, err := deadline(q.DeadlineMS, &settings)
	if err != nil {
		return nil, err
	}
	if err := checkQuery(q); err != nil {
		return nil, err
	}
	req := &leverquery.Request{
		Service: service, Rank: rank, ID: leverid.RequestID(q.RequestID), Deadline: arrived.Add(wait),
		Body: levermsg.RawJSON(q.Body), Once: q.NotRepeatable, Key: q.Key, Limit: q.Limit,
	}
	if q.Page != "" {
		if err := setPage(req, q.Page); err != nil {
			return nil, err
		}
	}
	return req, nil
}

func deadline(ms *int64, s *leverconfig.Service) (time.Duration, error) {
	if ms == nil {
		return time.Duration(s.DefaultDeadlineMS) * time.Millisecond, nil
	}
	if *ms <= 0 || float64(*ms) > s.MaxDeadlineMS {
		return 0, errors.BadRequestf("deadline-ms %d (want 1 to %g)", *ms, s.MaxDeadlineMS)
	}
	return time.Duration(*ms) * time.Millisecond, nil
}

func checkQuery(q *leverapi.Query) error {
	switch {
	case len(q.RequestID) > maxID:
		return errors.BadRequestf("request-id of %d bytes (at most %d)", len(q.RequestID), maxID)
	case q.NotRepeatable && q.RequestID == "":
		return errors.BadRequestf("request-id: missing in a request that is not repeatable")
	case q.NotRepeatable && q.Key == "":
		return errors.BadRequestf("key: missing in a request that is not repeatable")
	case q.NotRepeatable && q.Page != "":
		return errors.BadRequestf("page: set in a request that is not repeatable")
	case q.Limit < 0 || q.Limit > math.MaxInt32:
		return errors.BadRequestf("limit %d", q.Limit)
	}
	return nil
}

func (f *Face) answer(w http.ResponseWriter, q *leverapi.Query, a *leverquery.Answer) {
	out := leverapi.Answer{
		RequestID: q.RequestID, Records: make([]leverapi.Record, len(a.Records)),
		Snapshot: uint64(a.Snapshot), Coverage: coverage(a.Coverage),
		Restarted: a.Restarted, Attempts: a.Attempts, VM: string(f.VM),
	}
	for i, r := range a.Records {
		out.Records[i] = leverapi.Record{Key: r.Key, Revision: r.Revision, Value: json.RawMessage(r.Value)}
	}
	if a.More {
		out.Page = pageToken(a.Snapshot, a.Records[len(a.Records)-1].Key)
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(out)
}

func coverage(c leverquery.Coverage) leverapi.Coverage {
	return leverapi.Coverage{
		Covered: c.Covered, Total: c.Total, Missing: shards(c.Missing), Partial: shards(c.Partial),
	}
}

func shards(ids []leverid.ShardID) []int {
	out := make([]int, len(ids))
	for i, id := range ids {
		out[i] = int(id)
	}
	return out
}

func (f *Face) problem(w http.ResponseWriter, id string, r *leverquery.Refusal) {
	status, title := classify(r.Reason)
	p := leverapi.Problem{
		Type: leverapi.ProblemPrefix + string(r.Reason), Title: title, Status: status, Detail: r.Detail,
		RunState: leverapi.RunState(r.Run.String()), RetryAfterMS: r.RetryAfter.Milliseconds(),
		RequestID: id, VM: string(f.VM),
	}
	if r.Coverage.Total > 0 {
		c := coverage(r.Coverage)
		p.Coverage = &c
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", leverapi.ProblemType)
	w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(p)
}
