package leverentry_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverentry"
	"arbutuslever.dev/lever/internal/leverkernel"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/leverops"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/levertest"
	"arbutuslever.dev/lever/pkg/leverapi"

	"github.com/matryer/is"
)

const operatorKey = "operator-key-of-the-test"

func mux(n *leverkernel.Node) *http.ServeMux {
	m := http.NewServeMux()
	entry := &leverentry.API{
		VM: n.Self().ID, Engine: n.Engine(), Timer: n.Timer(), Counters: n.Counters(), Events: n.Events(),
		Document: n.Document, Ready: n.Ready, Usable: n.Usable, Leaving: n.Leaving,
	}
	entry.Register(m)
	ops := &leverops.API{Node: n, Keys: leverpeer.NewKeys(operatorKey)}
	ops.Register(m)
	return m
}

// withNode serves the callers' and the operators' API of one node in virtual
// time.
func withNode(t *testing.T, body func(is *is.I, do func(method, path, key, body string) *httptest.ResponseRecorder)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := levertest.NewSystem(levertest.Options{Deployment: levermodel.TwNorth().Scaled(1), VMs: 3, Seed: 1})
		defer s.Close()
		s.WaitReady()
		time.Sleep(2 * time.Second)
		m := mux(s.Nodes()[0])
		body(is.New(t), func(method, path, key, body string) *httptest.ResponseRecorder {
			r := httptest.NewRequest(method, path, strings.NewReader(body))
			if key != "" {
				r.Header.Set("Authorization", "Bearer "+key)
			}
			w := httptest.NewRecorder()
			m.ServeHTTP(w, r)
			return w
		})
	})
}

func TestBadRequests(t *testing.T) {
	cases := map[string]struct {
		service, body string
		status        int
		reason        string
	}{
		"malformed":             {"portal", `{"rank": `, 400, "bad-request"},
		"two objects":           {"portal", `{"rank": "urgent"}{}`, 400, "bad-request"},
		"unknown member":        {"portal", `{"rank": "urgent", "speed": 1}`, 400, "bad-request"},
		"unknown service":       {"nowhere", `{"rank": "urgent"}`, 404, "unknown-service"},
		"unknown rank":          {"portal", `{"rank": "soon"}`, 400, "bad-request"},
		"no rank":               {"portal", `{}`, 400, "bad-request"},
		"deadline zero":         {"portal", `{"rank": "urgent", "deadline-ms": 0}`, 400, "bad-request"},
		"deadline below zero":   {"portal", `{"rank": "urgent", "deadline-ms": -5}`, 400, "bad-request"},
		"deadline too long":     {"portal", `{"rank": "urgent", "deadline-ms": 99999999}`, 400, "bad-request"},
		"body too large":        {"portal", `{"rank": "urgent", "body": "` + strings.Repeat("x", leverentry.MaxBody) + `"}`, 400, "bad-request"},
		"once without id":       {"portal", `{"rank": "urgent", "not-repeatable": true, "key": "k"}`, 400, "bad-request"},
		"once without key":      {"portal", `{"rank": "urgent", "not-repeatable": true, "request-id": "r"}`, 400, "bad-request"},
		"long id":               {"portal", `{"rank": "urgent", "request-id": "` + strings.Repeat("x", 300) + `"}`, 400, "bad-request"},
		"limit below zero":      {"portal", `{"rank": "urgent", "limit": -1}`, 400, "bad-request"},
		"page token is invalid": {"portal", `{"rank": "urgent", "page": "%%%"}`, 400, "bad-request"},
		"unknown page snapshot": {"portal", `{"rank": "urgent", "page": "eyJzIjo5OTl9"}`, 410, "unknown-snapshot"},
	}
	withNode(t, func(is *is.I, do func(method, path, key, body string) *httptest.ResponseRecorder) {
		for name, c := range cases {
			w := do("POST", "/v1/services/"+c.service+"/query", "", c.body)
			var p leverapi.Problem
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &p))
			if w.Code != c.status || p.Reason() != c.reason || p.RunState != leverapi.NotRun {
				t.Errorf("%s: status %d, %s, %s", name, w.Code, p.Reason(), p.RunState)
			}
			is.Equal(w.Header().Get("Content-Type"), leverapi.ProblemType)
		}
	})
}

func TestPagesKeepTheSnapshot(t *testing.T) {
	withNode(t, func(is *is.I, do func(method, path, key, body string) *httptest.ResponseRecorder) {
		seen, page := 0, ""
		for range 10 {
			w := do("POST", "/v1/services/certificate/query", "", `{"rank": "routine", "limit": 4, "page": "`+page+`"}`)
			is.Equal(w.Code, http.StatusOK)
			var a leverapi.Answer
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &a))
			is.Equal(a.Snapshot, uint64(1))
			seen += len(a.Records)
			if page = a.Page; page == "" {
				break
			}
			is.Equal(len(a.Records), 4)
		}
		is.Equal(page, "")
		is.Equal(seen, levermodel.RecordCount(5))
	})
}

func TestOperatorsNeedAKey(t *testing.T) {
	paths := []string{"config", "status", "vms", "events", "metrics"}
	withNode(t, func(is *is.I, do func(method, path, key, body string) *httptest.ResponseRecorder) {
		for _, p := range paths {
			for _, key := range []string{"", "wrong", operatorKey + "x"} {
				is.Equal(do("GET", "/v1/operator/"+p, key, "").Code, http.StatusUnauthorized)
			}
			is.Equal(do("GET", "/v1/operator/"+p, operatorKey, "").Code, http.StatusOK)
		}
		is.Equal(do("POST", "/v1/operator/config", "", `{}`).Code, http.StatusUnauthorized)
	})
}

func TestPatchVerdicts(t *testing.T) {
	withNode(t, func(is *is.I, do func(method, path, key, body string) *httptest.ResponseRecorder) {
		patch := func(body string) int { return do("POST", "/v1/operator/config", operatorKey, body).Code }
		is.Equal(patch(`{"id": "a", "base": 0, "merge": {"defaults": {"on-short": "answer"}}}`), http.StatusOK)
		is.Equal(patch(`{"id": "a", "base": 0, "merge": {"defaults": {"on-short": "answer"}}}`), http.StatusOK) // again
		is.Equal(patch(`{"id": "b", "base": 0, "merge": {}}`), http.StatusConflict)
		is.Equal(patch(`{"id": "b", "base": 1, "merge": {"defaults": {"on-short": "soon"}}}`), http.StatusUnprocessableEntity)
		is.Equal(patch(`{"id": "b", "base": 1, "merge": 3, "x": 1}`), http.StatusBadRequest)
		is.Equal(do("GET", "/v1/operator/config/patches/a", operatorKey, "").Code, http.StatusOK)
		is.Equal(do("GET", "/v1/operator/config/patches/b", operatorKey, "").Code, http.StatusNotFound)
		is.Equal(do("POST", "/v1/operator/config/check", operatorKey, `{"id": "c", "merge": {"defaults": {"least-coverage": 9}}}`).Code,
			http.StatusUnprocessableEntity)
	})
}

// TestStoppingVMAnswersAndCloses checks that a VM whose planned stop has begun
// still answers requests and closes their connections. A caller that reused
// such a connection could send on it while it is being closed.
func TestStoppingVMAnswersAndCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := levertest.NewSystem(levertest.Options{Deployment: levermodel.TwNorth().Scaled(1), VMs: 3, Seed: 1})
		defer s.Close()
		s.WaitReady()
		time.Sleep(2 * time.Second)
		m := mux(s.Nodes()[0])
		ask := func() *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			m.ServeHTTP(w, httptest.NewRequest("POST", "/v1/services/portal/query", strings.NewReader(`{"rank": "urgent"}`)))
			return w
		}
		is.Equal(ask().Header().Get("Connection"), "")
		s.Nodes()[0].Leave()
		w := ask()
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Header().Get("Connection"), "close")
		ready := httptest.NewRecorder()
		m.ServeHTTP(ready, httptest.NewRequest("GET", "/v1/ready", nil))
		is.Equal(ready.Code, http.StatusServiceUnavailable)
	})
}

func TestReadiness(t *testing.T) {
	withNode(t, func(is *is.I, do func(method, path, key, body string) *httptest.ResponseRecorder) {
		is.Equal(do("GET", "/v1/ready", "", "").Code, http.StatusOK)
		is.Equal(do("GET", "/v1/live", "", "").Code, http.StatusOK)
	})
}
