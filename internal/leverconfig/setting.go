// Package leverconfig is the configuration that the platform keeps: its
// settings with their bounds, its checks, and the patches that change it.
package leverconfig

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"

	"arbutuslever.dev/lever/internal/leverlimit"
	"arbutuslever.dev/lever/internal/leverrank"
	"arbutuslever.dev/lever/internal/leverretry"
	"arbutuslever.dev/lever/internal/leverroute"

	"github.com/juju/errors"
)

// Setting describes one key of the configuration. The same table checks
// documents and makes the operators' page.
type Setting[T any] struct {
	Key     string
	Unit    string
	Default string
	Doc     string
	// Min and Max bound a number.
	Min, Max float64
	// Choices, if set, lists the texts allowed.
	Choices func() []string

	number func(*T) *float64
	text   func(*T) *string
}

// Bounds returns the allowed values in words.
func (s Setting[T]) Bounds() string {
	if s.Choices != nil {
		return strings.Join(s.Choices(), ", ")
	}
	return formatNumber(s.Min) + " to " + formatNumber(s.Max)
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// set reads a JSON value into its field.
func (s Setting[T]) set(target *T, raw json.RawMessage) error {
	if s.Choices != nil {
		return s.setText(target, raw)
	}
	var f float64
	if err := json.Unmarshal(raw, &f); err != nil {
		return errors.NotValidf("%s (want a number)", raw)
	}
	if math.IsNaN(f) || f < s.Min || f > s.Max {
		return errors.NotValidf("%s (want %s)", raw, s.Bounds())
	}
	*s.number(target) = f
	return nil
}

func (s Setting[T]) setText(target *T, raw json.RawMessage) error {
	var t string
	if err := json.Unmarshal(raw, &t); err != nil {
		return errors.NotValidf("%s (want a text)", raw)
	}
	if !slices.Contains(s.Choices(), t) {
		return errors.NotValidf("%q (want one of %s)", t, s.Bounds())
	}
	*s.text(target) = t
	return nil
}

// defaults fills target with the defaults of a table.
func defaults[T any](table []Setting[T], target *T) {
	for _, s := range table {
		if s.Choices != nil {
			*s.text(target) = s.Default
			continue
		}
		// The table's defaults are numbers; a test checks it.
		*s.number(target), _ = strconv.ParseFloat(s.Default, 64)
	}
}

// apply reads the members of a JSON object into target. The error names the
// path of the member at fault.
func apply[T any](table []Setting[T], target *T, path string, raw json.RawMessage) error {
	if len(raw) == 0 {
		return nil
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil {
		return errors.NotValidf("%s: %s (want an object)", path, raw)
	}
	for _, key := range sortedKeys(members) {
		i := slices.IndexFunc(table, func(s Setting[T]) bool { return s.Key == key })
		if i < 0 {
			return errors.NotValidf("%s.%s: unknown key", path, key)
		}
		if err := table[i].set(target, members[key]); err != nil {
			return errors.Annotatef(err, "%s.%s", path, key)
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Service is the configuration of one service.
type Service struct {
	FloorUrgent, FloorRoutine, FloorBulk float64
	Admission, Limit, Retry, Hedge       string
	RetryPart, HedgePart, HedgeQuantile  float64
	LeastCoverage                        float64
	OnShort                              string
	AnswerAfterMS                        float64
	DefaultDeadlineMS, MaxDeadlineMS     float64
	RunUnclaimed                         string
}

// Floors returns the ranks' floors.
func (s *Service) Floors() leverrank.Floors {
	return leverrank.Floors{s.FloorUrgent, s.FloorRoutine, s.FloorBulk}
}

// System is the configuration that all services share.
type System struct {
	Routing       string
	ClaimKeepS    float64
	MaxInFlight   float64
	Watchers      float64
	BackstopS     float64
	StopWaitMS    float64
	StopLimitMS   float64
	StoreRate     float64
	ClaimRate     float64
	HomeGroup     float64
	DirectDivisor float64
}

func fixed(choices ...string) func() []string { return func() []string { return choices } }

// ServiceSettings is the table of a service's keys.
var ServiceSettings = []Setting[Service]{
	{Key: "floor-urgent", Unit: "part of capacity", Default: "0", Max: 0.9,
		Doc:    "capacity kept for urgent work while it has demand",
		number: func(s *Service) *float64 { return &s.FloorUrgent }},
	{Key: "floor-routine", Unit: "part of capacity", Default: "0.2", Max: 0.9,
		Doc:    "capacity kept for routine work while it has demand",
		number: func(s *Service) *float64 { return &s.FloorRoutine }},
	{Key: "floor-bulk", Unit: "part of capacity", Default: "0.07", Max: 0.9,
		Doc:    "capacity kept for bulk work while it has demand",
		number: func(s *Service) *float64 { return &s.FloorBulk }},
	{Key: "admission", Default: "floors", Choices: leverrank.Admitters.Names,
		Doc:  "what is let in before the fan-out; open lets all in",
		text: func(s *Service) *string { return &s.Admission }},
	{Key: "limit", Default: "adaptive", Choices: leverlimit.Limiters.Names,
		Doc:  "how many attempts an upstream gets at a time",
		text: func(s *Service) *string { return &s.Limit }},
	{Key: "retry", Default: "budget", Choices: leverretry.Budgets.Names,
		Doc:  "what bounds further attempts",
		text: func(s *Service) *string { return &s.Retry }},
	{Key: "retry-part", Unit: "part of first attempts", Default: "0.1", Max: 1,
		Doc:    "how many attempts may be repeated",
		number: func(s *Service) *float64 { return &s.RetryPart }},
	{Key: "hedge", Default: "quantile", Choices: leverretry.Hedgers.Names,
		Doc:  "when a slow attempt gets a second one beside it",
		text: func(s *Service) *string { return &s.Hedge }},
	{Key: "hedge-part", Unit: "part of first attempts", Default: "0.05", Max: 1,
		Doc:    "how many attempts may be hedged",
		number: func(s *Service) *float64 { return &s.HedgePart }},
	{Key: "hedge-quantile", Unit: "quantile", Default: "0.95", Min: 0.5, Max: 0.999,
		Doc:    "the latency quantile after which a hedge is sent",
		number: func(s *Service) *float64 { return &s.HedgeQuantile }},
	{Key: "least-coverage", Unit: "part of shards", Default: "0.5", Max: 1,
		Doc:    "an answer that covers less is refused as incomplete",
		number: func(s *Service) *float64 { return &s.LeastCoverage }},
	{Key: "on-short", Default: "wait", Choices: fixed("wait", "answer"),
		Doc:  "wait for missing shards to the deadline, or answer at answer-after-ms",
		text: func(s *Service) *string { return &s.OnShort }},
	{Key: "answer-after-ms", Unit: "ms", Default: "200", Min: 1, Max: 60000,
		Doc:    "when to answer with the least coverage, if on-short is answer",
		number: func(s *Service) *float64 { return &s.AnswerAfterMS }},
	{Key: "default-deadline-ms", Unit: "ms", Default: "1000", Min: 1, Max: 60000,
		Doc:    "deadline of a request that names none",
		number: func(s *Service) *float64 { return &s.DefaultDeadlineMS }},
	{Key: "max-deadline-ms", Unit: "ms", Default: "10000", Min: 1, Max: 60000,
		Doc:    "longest deadline that a request may name",
		number: func(s *Service) *float64 { return &s.MaxDeadlineMS }},
	{Key: "run-unclaimed", Default: "no", Choices: fixed("no", "yes"),
		Doc:  "send requests that are not repeatable while the store is down; they may then run twice",
		text: func(s *Service) *string { return &s.RunUnclaimed }},
}

// SystemSettings is the table of the system's keys.
var SystemSettings = []Setting[System]{
	{Key: "routing", Default: "homes", Choices: leverroute.Routers.Names,
		Doc:  "call upstreams through their home VM, or direct from each VM",
		text: func(s *System) *string { return &s.Routing }},
	{Key: "claim-keep-s", Unit: "s", Default: "900", Min: 180, Max: 86400,
		Doc:    "how long the id of a request that is not repeatable stays claimed",
		number: func(s *System) *float64 { return &s.ClaimKeepS }},
	{Key: "max-in-flight", Unit: "requests", Default: "4000", Min: 1, Max: 1e6,
		Doc:    "requests that one VM works on at a time",
		number: func(s *System) *float64 { return &s.MaxInFlight }},
	{Key: "watchers", Unit: "VMs", Default: "3", Min: 1, Max: 16,
		Doc:    "VMs that watch the store for all others",
		number: func(s *System) *float64 { return &s.Watchers }},
	{Key: "backstop-s", Unit: "s", Default: "30", Min: 5, Max: 3600,
		Doc:    "least time between two reads of the store by a VM that does not watch",
		number: func(s *System) *float64 { return &s.BackstopS }},
	{Key: "stop-wait-ms", Unit: "ms", Default: "2000", Max: 60000,
		Doc:    "how long a stopping VM still takes requests in, so that the balancer sees it",
		number: func(s *System) *float64 { return &s.StopWaitMS }},
	{Key: "stop-limit-ms", Unit: "ms", Default: "15000", Min: 100, Max: 120000,
		Doc:    "how long a stopping VM waits for requests in flight",
		number: func(s *System) *float64 { return &s.StopLimitMS }},
	{Key: "store-rate", Unit: "calls/s", Default: "20", Min: 1, Max: 1000,
		Doc:    "calls that one VM makes to the store at most",
		number: func(s *System) *float64 { return &s.StoreRate }},
	{Key: "claim-rate", Unit: "calls/s", Default: "200", Min: 1, Max: 100000,
		Doc:    "calls that all VMs together make to the store for claims; each VM has an equal part",
		number: func(s *System) *float64 { return &s.ClaimRate }},
	{Key: "home-group", Unit: "VMs", Default: "32", Min: 1, Max: 10000,
		Doc:    "VMs that are homes of one service's upstreams, in a fleet that has more",
		number: func(s *System) *float64 { return &s.HomeGroup }},
	{Key: "direct-divisor", Unit: "VMs", Default: "7", Min: 1, Max: 10000,
		Doc:    "VMs that divide an upstream's slots under routing direct",
		number: func(s *System) *float64 { return &s.DirectDivisor }},
}
