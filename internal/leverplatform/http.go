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

// maxWait bounds the wait of a watch.
const maxWait = time.Minute

// Face serves a Memory by the protocol of docs/PLATFORM.md. Under
// /v1/stand-in/ it takes and shows faults and call counts.
type Face struct {
	Memory *Memory
	// Token, if not empty, is what callers must present.
	Token string
}

// Handler returns the HTTP handler.
func (f *Face) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", f.list)
	mux.HandleFunc("GET /v1/objects/{key...}", f.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", f.put)
	mux.HandleFunc("DELETE /v1/objects/{key...}", f.remove)
	mux.HandleFunc("GET /v1/watch", f.watch)
	mux.HandleFunc("GET /v1/vms", f.vms)
	mux.HandleFunc("GET /v1/stand-in/faults", f.getFaults)
	mux.HandleFunc("PUT /v1/stand-in/faults", f.setFaults)
	mux.HandleFunc("GET /v1/stand-in/calls", f.calls)
	return f.checkToken(mux)
}

func (f *Face) checkToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.Token != "" && r.Header.Get("Authorization") != "Bearer "+f.Token {
			http.Error(w, "token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}

// fail answers an error. A lost reply ends the connection instead.
func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errors.NotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, leverstore.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, leverstore.ErrUnknown):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func keyOf(r *http.Request) leverid.ObjectKey { return leverid.ObjectKey(r.PathValue("key")) }

func etag(r leverstore.Revision) string {
	return `"` + strconv.FormatUint(uint64(r), 10) + `"`
}

func (f *Face) get(w http.ResponseWriter, r *http.Request) {
	o, err := f.Memory.Get(r.Context(), keyOf(r))
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", etag(o.Revision))
	// A caller that is gone needs no answer.
	_, _ = w.Write(o.Value)
}

// match reads the condition of an update; a missing one is an error.
func match(r *http.Request) (leverstore.Revision, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	n, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return leverstore.Revision(n), err
}

func (f *Face) put(w http.ResponseWriter, r *http.Request) {
	m, err := match(r)
	if err != nil {
		http.Error(w, "an update needs If-Match or If-None-Match", http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	rev, err := f.Memory.Put(r.Context(), keyOf(r), value, m)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", etag(rev))
}

func (f *Face) remove(w http.ResponseWriter, r *http.Request) {
	m, err := match(r)
	if err != nil {
		http.Error(w, "an update needs If-Match", http.StatusPreconditionRequired)
		return
	}
	if err := f.Memory.Delete(r.Context(), keyOf(r), m); err != nil {
		fail(w, err)
	}
}

func wireOf(c leverstore.Changes) leverstore.WireChanges {
	out := leverstore.WireChanges{Revision: c.Revision, Objects: make([]leverstore.WireObject, len(c.Objects))}
	for i, o := range c.Objects {
		out.Objects[i] = leverstore.WireObject(o)
	}
	return out
}

func (f *Face) list(w http.ResponseWriter, r *http.Request) {
	c, err := f.Memory.List(r.Context(), leverid.ObjectKey(r.URL.Query().Get("prefix")))
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, wireOf(c))
}

// waiting reads the parameters of a watch.
func waiting(r *http.Request) (leverstore.Revision, time.Duration, error) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	ms, err := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	return leverstore.Revision(since), min(time.Duration(ms)*time.Millisecond, maxWait), nil
}

func (f *Face) watch(w http.ResponseWriter, r *http.Request) {
	since, wait, err := waiting(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c, err := f.Memory.Watch(r.Context(), leverid.ObjectKey(r.URL.Query().Get("prefix")), since, wait)
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, wireOf(c))
}

func (f *Face) vms(w http.ResponseWriter, r *http.Request) {
	since, wait, err := waiting(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l, err := f.Memory.VMs(r.Context(), since, wait)
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, leverstore.WireVMs(l))
}

func (f *Face) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Memory.Faults()) }

func (f *Face) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Memory.SetFaults(faults)
}

func (f *Face) calls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Memory.Calls()) }
