// Package leverops is the operators' face: configuration, state of the fleet,
// metrics and the time line, over HTTP and JSON. Every path needs a key.
package leverops

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/http/pprof"
	"slices"
	"strconv"
	"strings"
	"time"

	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverkernel"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/pkg/leverapi"
)

const (
	// submitTime bounds the settling of a patch.
	submitTime = 5 * time.Second
	bearer     = "Bearer "
)

// Face serves operators. Its fields must be set before its first use.
type Face struct {
	Node *leverkernel.Node
	Keys *leverpeer.Keys
}

// Register adds the face's paths to a mux.
func (f *Face) Register(mux *http.ServeMux) {
	f.handle(mux, "GET /v1/operator/config", f.getConfig)
	f.handle(mux, "POST /v1/operator/config", f.patchConfig)
	f.handle(mux, "POST /v1/operator/config/check", f.checkConfig)
	f.handle(mux, "GET /v1/operator/config/patches/{id}", f.findPatch)
	f.handle(mux, "GET /v1/operator/status", f.status)
	f.handle(mux, "GET /v1/operator/vms", f.vms)
	f.handle(mux, "GET /v1/operator/events", f.events)
	f.handle(mux, "GET /v1/operator/profile", pprof.Profile)
	f.handle(mux, "GET /v1/operator/metrics", expvar.Handler().ServeHTTP)
}

func (f *Face) handle(mux *http.ServeMux, pattern string, h http.HandlerFunc) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		if !ok || !f.Keys.Accept(key) {
			f.Node.Counters().Add("operator-bad-keys", 1)
			f.problem(w, http.StatusUnauthorized, "unauthorized", "the operator's key is missing or wrong")
			return
		}
		h(w, r)
	})
}

func (f *Face) problem(w http.ResponseWriter, status int, reason, detail string) {
	w.Header().Set("Content-Type", leverapi.ProblemType)
	w.WriteHeader(status)
	writeJSON(w, leverapi.Problem{
		Type: leverapi.ProblemPrefix + reason, Title: http.StatusText(status), Status: status,
		Detail: detail, RunState: leverapi.NotRun, VM: string(f.Node.Self().ID),
	})
}

// writeJSON writes a body. An operator who is gone needs none.
func writeJSON(w io.Writer, v any) { _ = json.NewEncoder(w).Encode(v) }

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, v)
}

func (f *Face) getConfig(w http.ResponseWriter, _ *http.Request) {
	s := f.Node.Config()
	out := leverapi.Config{Version: uint64(s.Version), Document: s.Document}
	if len(out.Document) == 0 {
		out.Document = json.RawMessage("{}")
	}
	for _, a := range s.History {
		out.History = append(out.History, applied(a))
	}
	reply(w, out)
}

func applied(a leverconfig.Applied) leverapi.ConfigApplied {
	return leverapi.ConfigApplied{ID: string(a.ID), Version: uint64(a.Version), By: a.By, At: a.At}
}

// verdictStatus maps verdicts to HTTP.
var verdictStatus = map[leverconfig.Verdict]int{
	leverconfig.Accepted:    http.StatusOK,
	leverconfig.Conflict:    http.StatusConflict,
	leverconfig.Rejected:    http.StatusUnprocessableEntity,
	leverconfig.Unknown:     http.StatusGatewayTimeout,
	leverconfig.Unavailable: http.StatusServiceUnavailable,
}

func (f *Face) patchConfig(w http.ResponseWriter, r *http.Request) {
	var p leverapi.ConfigPatch
	if !f.read(w, r, &p) {
		return
	}
	// An operator who hangs up must not leave the patch half settled.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTime)
	defer cancel()
	out := f.Node.Submit(ctx, &leverconfig.Patch{
		ID: leverconfig.PatchID(p.ID), Base: leverid.ConfigVersion(p.Base), By: p.By, Merge: p.Merge,
	})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(verdictStatus[out.Verdict])
	writeJSON(w, leverapi.ConfigOutcome{
		Verdict: string(out.Verdict), PatchID: string(out.PatchID), Version: uint64(out.Version), Detail: out.Detail,
	})
}

func (f *Face) read(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, leverconfig.MaxDocument))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		f.problem(w, http.StatusBadRequest, "bad-request", err.Error())
		return false
	}
	return true
}

// checkConfig says what a patch would do, without doing it.
func (f *Face) checkConfig(w http.ResponseWriter, r *http.Request) {
	var p leverapi.ConfigPatch
	if !f.read(w, r, &p) {
		return
	}
	cur := f.Node.Config()
	next, err := cur.Apply(&leverconfig.Patch{ID: leverconfig.PatchID(p.ID), Base: cur.Version, Merge: p.Merge}, time.Now())
	if err != nil {
		f.problem(w, http.StatusUnprocessableEntity, string(leverconfig.Rejected), err.Error())
		return
	}
	reply(w, leverapi.Config{Version: uint64(cur.Version), Document: next.Document})
}

func (f *Face) findPatch(w http.ResponseWriter, r *http.Request) {
	a, ok := f.Node.Config().Find(leverconfig.PatchID(r.PathValue("id")))
	if !ok {
		f.problem(w, http.StatusNotFound, "unknown-patch", "no accepted patch that is still kept has this id")
		return
	}
	reply(w, applied(a))
}

func (f *Face) status(w http.ResponseWriter, r *http.Request) {
	states, silent := f.Node.Fleet(r.Context(), r.URL.Query().Has("counters"))
	out := leverapi.FleetStatus{Answered: string(f.Node.Self().ID), Silent: []string{}, Behind: []string{}}
	for _, s := range states {
		out.Version = max(out.Version, uint64(s.Config))
		out.VMs = append(out.VMs, vmStatus(s))
	}
	for _, s := range states {
		if uint64(s.Config) == out.Version {
			out.InForce++
		} else {
			out.Behind = append(out.Behind, string(s.VM))
		}
	}
	for _, id := range silent {
		out.Silent = append(out.Silent, string(id))
	}
	slices.SortFunc(out.VMs, func(a, b leverapi.VMStatus) int { return strings.Compare(a.VM, b.VM) })
	slices.Sort(out.Behind)
	slices.Sort(out.Silent)
	reply(w, out)
}

func vmStatus(s leverkernel.Status) leverapi.VMStatus {
	return leverapi.VMStatus{
		VM: string(s.VM), Domain: string(s.Domain), Config: uint64(s.Config), Ready: s.Ready, Leaving: s.Leaving,
		Services: s.Services, InFlight: s.InFlight,
		UptimeMS: s.Uptime.Milliseconds(), Counters: s.Counters,
	}
}

func (f *Face) vms(w http.ResponseWriter, _ *http.Request) {
	live := f.Node.Members().Live(f.Node.Timer().Now())
	listed := f.Node.Members().List()
	out := make([]leverapi.VM, 0, len(listed))
	for _, vm := range listed {
		seen := "doubted"
		if hasVM(live, vm.ID) {
			seen = "live"
		}
		out = append(out, apiVM(vm, seen))
	}
	for _, vm := range live {
		if !hasVM(listed, vm.ID) {
			out = append(out, apiVM(vm, "live, not listed"))
		}
	}
	reply(w, out)
}

func hasVM(vms []levermsg.VM, id leverid.VMID) bool {
	return slices.ContainsFunc(vms, func(v levermsg.VM) bool { return v.ID == id })
}

func apiVM(vm levermsg.VM, seen string) leverapi.VM {
	return leverapi.VM{
		ID: string(vm.ID), Domain: string(vm.Domain), Peer: vm.Peer, Caller: vm.Caller,
		State: string(vm.State), Seen: seen,
	}
}

func (f *Face) events(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if s := r.URL.Query().Get("after"); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			f.problem(w, http.StatusBadRequest, "bad-request", "after: want a stamp in microseconds")
			return
		}
		after = n
	}
	out := []leverapi.Event{}
	for _, e := range f.Node.Events().Since(leverevent.Stamp(after)) {
		out = append(out, leverapi.Event{
			Stamp: int64(e.Stamp), VM: string(e.VM), Kind: string(e.Kind), Subject: e.Subject, Detail: e.Detail,
		})
	}
	reply(w, out)
}
