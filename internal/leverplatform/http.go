package leverplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverstore"

	"github.com/juju/errors"
)

// maxWatchWait bounds the wait that a watch may ask for.
const maxWatchWait = time.Minute

// Server serves a Memory over the HTTP protocol of docs/PLATFORM.md. The paths
// under /v1/stand-in/ get and set the faults and get the call counts.
type Server struct {
	Memory *Memory
	// Token, if not empty, is the bearer token that requests must carry.
	Token string
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", s.list)
	mux.HandleFunc("GET /v1/objects/{key...}", s.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", s.put)
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.remove)
	mux.HandleFunc("GET /v1/watch", s.watch)
	mux.HandleFunc("GET /v1/vms", s.vms)
	mux.HandleFunc("GET /v1/stand-in/faults", s.getFaults)
	mux.HandleFunc("PUT /v1/stand-in/faults", s.setFaults)
	mux.HandleFunc("GET /v1/stand-in/calls", s.calls)
	return s.checkToken(mux)
}

func (s *Server) checkToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Token != "" && r.Header.Get("Authorization") != "Bearer "+s.Token {
			http.Error(w, "token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// writeError responds with the status of an error. For an unknown outcome it
// closes the connection instead, as if the response were lost.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errors.NotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, leverstore.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, leverstore.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func objectKey(r *http.Request) leverid.ObjectKey { return leverid.ObjectKey(r.PathValue("key")) }

func etag(r leverstore.Revision) string {
	return `"` + strconv.FormatUint(uint64(r), 10) + `"`
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.Memory.Get(r.Context(), objectKey(r))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", etag(o.Revision))
	// An error means that the client has disconnected.
	_, _ = w.Write(o.Value)
}

// expectedRevision returns the revision that an update requires, 0 if the
// object must not exist. It is an error if the request names no revision.
func expectedRevision(r *http.Request) (leverstore.Revision, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	n, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return leverstore.Revision(n), err
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	match, err := expectedRevision(r)
	if err != nil {
		http.Error(w, "an update needs If-Match or If-None-Match", http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	rev, err := s.Memory.Put(r.Context(), objectKey(r), value, match)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", etag(rev))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	match, err := expectedRevision(r)
	if err != nil {
		http.Error(w, "an update needs If-Match", http.StatusPreconditionRequired)
		return
	}
	if err := s.Memory.Delete(r.Context(), objectKey(r), match); err != nil {
		writeError(w, err)
	}
}

func wireChanges(c leverstore.Changes) leverstore.WireChanges {
	out := leverstore.WireChanges{Revision: c.Revision, Objects: make([]leverstore.WireObject, len(c.Objects))}
	for i, o := range c.Objects {
		out.Objects[i] = leverstore.WireObject(o)
	}
	return out
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	c, err := s.Memory.List(r.Context(), leverid.ObjectKey(r.URL.Query().Get("prefix")))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, wireChanges(c))
}

// watchParams returns the revision and the wait that a watch asks for.
func watchParams(r *http.Request) (leverstore.Revision, time.Duration, error) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	ms, err := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	return leverstore.Revision(since), min(time.Duration(ms)*time.Millisecond, maxWatchWait), nil
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	since, wait, err := watchParams(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c, err := s.Memory.Watch(r.Context(), leverid.ObjectKey(r.URL.Query().Get("prefix")), since, wait)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, wireChanges(c))
}

func (s *Server) vms(w http.ResponseWriter, r *http.Request) {
	since, wait, err := watchParams(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l, err := s.Memory.VMs(r.Context(), since, wait)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, leverstore.WireVMs(l))
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Memory.Faults()) }

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Memory.SetFaults(faults)
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Memory.Calls()) }
