// Package leverops serves the operators' HTTP API: configuration, fleet status,
// metrics, profiles and the timeline. Every route requires an operator key.
package leverops

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
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
	// submitTimeout bounds submitting a patch to the store and determining its
	// outcome.
	submitTimeout = 5 * time.Second
	bearerPrefix  = "Bearer "
)

// API is the operators' HTTP API. Its fields must be set before first use.
type API struct {
	Node *leverkernel.Node
	Keys *leverpeer.Keys
}

// Register adds the API's routes to mux.
func (api *API) Register(mux *http.ServeMux) {
	api.handle(mux, "GET /v1/operator/config", api.getConfig)
	api.handle(mux, "POST /v1/operator/config", api.patchConfig)
	api.handle(mux, "POST /v1/operator/config/check", api.checkPatch)
	api.handle(mux, "GET /v1/operator/config/patches/{id}", api.getPatch)
	api.handle(mux, "GET /v1/operator/status", api.status)
	api.handle(mux, "GET /v1/operator/vms", api.vms)
	api.handle(mux, "GET /v1/operator/events", api.events)
	api.handle(mux, "GET /v1/operator/profile", pprof.Profile)
	api.handle(mux, "GET /v1/operator/metrics", expvar.Handler().ServeHTTP)
}

// handle registers h for requests that carry a valid operator key.
func (api *API) handle(mux *http.ServeMux, pattern string, h http.HandlerFunc) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if !ok || !api.Keys.Matches(key) {
			api.Node.Counters().Add("operator-bad-keys", 1)
			api.writeProblem(w, http.StatusUnauthorized, "unauthorized", "the operator's key is missing or wrong")
			return
		}
		h(w, r)
	})
}

func (api *API) writeProblem(w http.ResponseWriter, status int, reason, detail string) {
	w.Header().Set("Content-Type", leverapi.ProblemType)
	w.WriteHeader(status)
	writeJSON(w, leverapi.Problem{
		Type: leverapi.ProblemPrefix + reason, Title: http.StatusText(status), Status: status,
		Detail: detail, RunState: leverapi.NotRun, VM: string(api.Node.Self().ID),
	})
}

// writeJSON writes v as a response body. A write error means that the operator
// has disconnected.
func writeJSON(w io.Writer, v any) { _ = json.NewEncoder(w).Encode(v) }

func writeOK(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, v)
}

func (api *API) getConfig(w http.ResponseWriter, _ *http.Request) {
	s := api.Node.Config()
	out := leverapi.Config{Version: uint64(s.Version), Document: s.Document}
	if len(out.Document) == 0 {
		out.Document = json.RawMessage("{}")
	}
	for _, a := range s.History {
		out.History = append(out.History, appliedPatch(a))
	}
	writeOK(w, out)
}

func appliedPatch(a leverconfig.HistoryEntry) leverapi.ConfigApplied {
	return leverapi.ConfigApplied{ID: string(a.ID), Version: uint64(a.Version), By: a.By, At: a.At}
}

// verdictStatus maps the verdict on a patch to an HTTP status.
var verdictStatus = map[leverconfig.Verdict]int{
	leverconfig.Accepted:    http.StatusOK,
	leverconfig.Conflict:    http.StatusConflict,
	leverconfig.Rejected:    http.StatusUnprocessableEntity,
	leverconfig.Unknown:     http.StatusGatewayTimeout,
	leverconfig.Unavailable: http.StatusServiceUnavailable,
}

func (api *API) patchConfig(w http.ResponseWriter, r *http.Request) {
	var p leverapi.ConfigPatch
	if !api.decode(w, r, &p) {
		return
	}
	// The patch is completed even if the operator disconnects, so that its
	// outcome does not stay undetermined.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTimeout)
	defer cancel()
	out := api.Node.Submit(ctx, &leverconfig.Patch{
		ID: leverconfig.PatchID(p.ID), Base: leverid.ConfigVersion(p.Base), By: p.By, Merge: p.Merge,
	})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(verdictStatus[out.Verdict])
	writeJSON(w, leverapi.ConfigOutcome{
		Verdict: string(out.Verdict), PatchID: string(out.PatchID), Version: uint64(out.Version), Detail: out.Detail,
	})
}

func (api *API) decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, leverconfig.MaxDocumentBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		api.writeProblem(w, http.StatusBadRequest, "bad-request", err.Error())
		return false
	}
	if _, err := d.Token(); err != io.EOF {
		api.writeProblem(w, http.StatusBadRequest, "bad-request", fmt.Sprintf("text after byte %d of the body", d.InputOffset()))
		return false
	}
	return true
}

// checkPatch returns the document that a patch would produce, without
// submitting the patch. It applies the patch to the configuration in force,
// whatever its base.
func (api *API) checkPatch(w http.ResponseWriter, r *http.Request) {
	var p leverapi.ConfigPatch
	if !api.decode(w, r, &p) {
		return
	}
	cur := api.Node.Config()
	next, err := cur.Apply(&leverconfig.Patch{ID: leverconfig.PatchID(p.ID), Base: cur.Version, Merge: p.Merge}, time.Now())
	if err != nil {
		api.writeProblem(w, http.StatusUnprocessableEntity, string(leverconfig.Rejected), err.Error())
		return
	}
	writeOK(w, leverapi.Config{Version: uint64(cur.Version), Document: next.Document})
}

func (api *API) getPatch(w http.ResponseWriter, r *http.Request) {
	a, ok := api.Node.Config().Find(leverconfig.PatchID(r.PathValue("id")))
	if !ok {
		api.writeProblem(w, http.StatusNotFound, "unknown-patch", "no accepted patch in the history has this id")
		return
	}
	writeOK(w, appliedPatch(a))
}

func (api *API) status(w http.ResponseWriter, r *http.Request) {
	states, silent := api.Node.Fleet(r.Context(), r.URL.Query().Has("counters"))
	out := leverapi.FleetStatus{Answered: string(api.Node.Self().ID), Silent: []string{}, Behind: []string{}}
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
	writeOK(w, out)
}

func vmStatus(s leverkernel.Status) leverapi.VMStatus {
	return leverapi.VMStatus{
		VM: string(s.VM), Domain: string(s.Domain), Config: uint64(s.Config), Ready: s.Ready, Leaving: s.Leaving,
		Services: s.Services, InFlight: s.InFlight,
		UptimeMS: s.Uptime.Milliseconds(), Counters: s.Counters,
	}
}

func (api *API) vms(w http.ResponseWriter, _ *http.Request) {
	live := api.Node.Members().Live(api.Node.Timer().Now())
	listed := api.Node.Members().List()
	out := make([]leverapi.VM, 0, len(listed))
	for _, vm := range listed {
		seen := "doubted"
		if containsVM(live, vm.ID) {
			seen = "live"
		}
		out = append(out, vmEntry(vm, seen))
	}
	for _, vm := range live {
		if !containsVM(listed, vm.ID) {
			out = append(out, vmEntry(vm, "live, not listed"))
		}
	}
	writeOK(w, out)
}

func containsVM(vms []levermsg.VM, id leverid.VMID) bool {
	return slices.ContainsFunc(vms, func(v levermsg.VM) bool { return v.ID == id })
}

func vmEntry(vm levermsg.VM, seen string) leverapi.VM {
	return leverapi.VM{
		ID: string(vm.ID), Domain: string(vm.Domain), Peer: vm.Peer, Caller: vm.Caller,
		State: string(vm.State), Seen: seen,
	}
}

func (api *API) events(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if s := r.URL.Query().Get("after"); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			api.writeProblem(w, http.StatusBadRequest, "bad-request", "after: want a timestamp in microseconds since the Unix epoch")
			return
		}
		after = n
	}
	out := []leverapi.Event{}
	for _, e := range api.Node.Events().Since(leverevent.Stamp(after)) {
		out = append(out, leverapi.Event{
			Stamp: int64(e.Stamp), VM: string(e.VM), Kind: string(e.Kind), Subject: e.Subject, Detail: e.Detail,
		})
	}
	writeOK(w, out)
}
