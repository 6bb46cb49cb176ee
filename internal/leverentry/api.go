// Package leverentry serves the callers' HTTP and JSON API. Request bodies are
// bounded, and every invalid request is answered with a problem document.
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
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody = 1 << 20
	// maxRequestID is the maximum length of a request id in bytes.
	maxRequestID = 200
	// maxServiceFraction is the fraction of the VM's in-flight limit that one
	// service may use, so that a flood of requests to one service does not
	// starve the others.
	maxServiceFraction = 0.5
)

// API is the callers' HTTP API. Its exported fields must be set before first
// use.
type API struct {
	VM       leverid.VMID
	Engine   *leverquery.Engine
	Timer    *levertimer.Service
	Counters *leverevent.Counters
	Events   *leverevent.Timeline
	// Document returns the configuration in force.
	Document func() *leverconfig.Document
	// Ready reports whether load balancers should send requests to this VM.
	Ready func() bool
	// Usable reports whether the VM can answer a request that arrives, also
	// while it is not ready.
	Usable func() bool
	// Leaving reports whether a planned stop has begun.
	Leaving func() bool

	limiter limiter
}

// Register adds the API's routes to mux.
func (api *API) Register(mux *http.ServeMux) {
	mux.Handle("POST /v1/services/{service}/query", api.middleware(http.HandlerFunc(api.query)))
	mux.HandleFunc("GET /v1/ready", api.ready)
	mux.HandleFunc("GET /v1/live", api.live)
}

func (api *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !api.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	api.live(w, nil)
}

func (api *API) live(w http.ResponseWriter, _ *http.Request) {
	// A write error means that the caller has disconnected.
	_, _ = io.WriteString(w, "ok\n")
}

// middleware recovers from a panic of next, counts it and answers the request
// with a problem.
func (api *API) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				api.Counters.Add("panics", 1)
				api.Events.Add(leverevent.Panic, r.URL.Path, "")
				api.writeProblem(w, "", &leverquery.Refusal{Reason: "internal", Run: leverid.MayHaveRun})
			}
		}()
		next.ServeHTTP(w, r)
	})
}

func (api *API) query(w http.ResponseWriter, r *http.Request) {
	arrived := api.Timer.Now()
	q, err := readQuery(w, r)
	if err != nil {
		api.writeProblem(w, "", &leverquery.Refusal{Reason: leverquery.BadRequest, Detail: err.Error()})
		return
	}
	if !api.Usable() {
		api.writeProblem(w, q.RequestID, &leverquery.Refusal{Reason: leverquery.NotReady, RetryAfter: time.Second})
		return
	}
	service := leverid.ServiceID(r.PathValue("service"))
	req, err := api.newRequest(service, q, arrived)
	if err != nil {
		api.writeProblem(w, q.RequestID, &leverquery.Refusal{Reason: leverquery.BadRequest, Detail: err.Error()})
		return
	}
	limit := int(api.Document().System.MaxInFlight)
	if !api.limiter.acquire(service, limit) {
		api.writeProblem(w, q.RequestID, &leverquery.Refusal{
			Reason: leverquery.Overloaded, RetryAfter: time.Second, Detail: "too many requests in flight on this VM",
		})
		return
	}
	defer api.limiter.release(service)
	a, err := api.Engine.Run(r.Context(), req)
	if err != nil {
		api.writeProblem(w, q.RequestID, asRefusal(err))
		return
	}
	api.writeAnswer(w, q, a)
}

func asRefusal(err error) *leverquery.Refusal {
	var refusal *leverquery.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &leverquery.Refusal{Reason: "internal", Run: leverid.MayHaveRun, Detail: err.Error()}
}

// readQuery decodes the request body. Unknown members and trailing data are
// errors.
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

// newRequest validates a query and converts it to a request for the query
// engine.
func (api *API) newRequest(service leverid.ServiceID, q *leverapi.Query, arrived time.Time) (*leverquery.Request, error) {
	rank, err := leverid.ParseRank(string(q.Rank))
	if err != nil {
		return nil, err
	}
	settings := api.Document().Service(service)
	timeout, err := queryTimeout(q.DeadlineMS, &settings)
	if err != nil {
		return nil, err
	}
	if err := checkQuery(q); err != nil {
		return nil, err
	}
	req := &leverquery.Request{
		Service: service, Rank: rank, ID: leverid.RequestID(q.RequestID), Deadline: arrived.Add(timeout),
		Body: levermsg.RawJSON(q.Body), Once: q.NotRepeatable, Key: q.Key, Limit: q.Limit,
	}
	if q.Page != "" {
		if err := setPage(req, q.Page); err != nil {
			return nil, err
		}
	}
	return req, nil
}

// queryTimeout returns the deadline given in ms, or the service's default if ms
// is nil, as a duration from the request's arrival.
func queryTimeout(ms *int64, s *leverconfig.Service) (time.Duration, error) {
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
	case len(q.RequestID) > maxRequestID:
		return errors.BadRequestf("request-id of %d bytes (at most %d)", len(q.RequestID), maxRequestID)
	case q.NotRepeatable && q.RequestID == "":
		return errors.BadRequestf("request-id: required for a request that is not repeatable")
	case q.NotRepeatable && q.Key == "":
		return errors.BadRequestf("key: required for a request that is not repeatable")
	case q.NotRepeatable && q.Page != "":
		return errors.BadRequestf("page: not allowed for a request that is not repeatable")
	case q.Limit < 0 || q.Limit > math.MaxInt32:
		return errors.BadRequestf("limit %d is out of range", q.Limit)
	}
	return nil
}

func (api *API) writeAnswer(w http.ResponseWriter, q *leverapi.Query, a *leverquery.Answer) {
	out := leverapi.Answer{
		RequestID: q.RequestID, Records: make([]leverapi.Record, len(a.Records)),
		Snapshot: uint64(a.Snapshot), Coverage: coverage(a.Coverage),
		Restarted: a.Restarted, Attempts: a.Attempts, VM: string(api.VM),
	}
	for i, r := range a.Records {
		out.Records[i] = leverapi.Record{Key: r.Key, Revision: r.Revision, Value: json.RawMessage(r.Value)}
	}
	if a.More {
		out.Page = pageToken(a.Snapshot, a.Records[len(a.Records)-1].Key)
	}
	api.setConnection(w)
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(out)
}

// setConnection sets Connection: close during a planned stop, so that no caller
// sends a request on a connection that is about to be closed. It is called when
// an answer is written, because the stop may begin while a request runs.
func (api *API) setConnection(w http.ResponseWriter) {
	if api.Leaving() {
		w.Header().Set("Connection", "close")
	}
}

func coverage(c leverquery.Coverage) leverapi.Coverage {
	return leverapi.Coverage{
		Covered: c.Covered, Total: c.Total, Missing: shardNumbers(c.Missing), Partial: shardNumbers(c.Partial),
	}
}

func shardNumbers(ids []leverid.ShardID) []int {
	out := make([]int, len(ids))
	for i, id := range ids {
		out[i] = int(id)
	}
	return out
}

func (api *API) writeProblem(w http.ResponseWriter, id string, r *leverquery.Refusal) {
	status, title := classify(r.Reason)
	p := leverapi.Problem{
		Type: leverapi.ProblemPrefix + string(r.Reason), Title: title, Status: status, Detail: r.Detail,
		RunState: leverapi.RunState(r.Run.String()), RetryAfterMS: r.RetryAfter.Milliseconds(),
		RequestID: id, VM: string(api.VM),
	}
	if r.Coverage.Total > 0 {
		c := coverage(r.Coverage)
		p.Coverage = &c
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	api.setConnection(w)
	w.Header().Set("Content-Type", leverapi.ProblemType)
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(p)
}
