// Package leverconfig defines the configuration in the platform's store: the
// settings with their bounds, their validation, and the patches that change
// them.
package leverconfig

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"

	"arbutuslever.dev/lever/internal/leverrank"

	"github.com/juju/errors"
)

// Setting describes one key of the configuration. The same tables validate
// documents and generate the reference in the operators' manual.
type Setting[T any] struct {
	Key     string
	Unit    string
	Default string
	Doc     string
	// Min and Max are the inclusive bounds of a number.
	Min, Max float64
	// Choices returns the allowed strings. It is nil for a number.
	Choices func() []string

	number func(*T) *float64
	text   func(*T) *string
}

// Bounds describes the allowed values.
func (s Setting[T]) Bounds() string {
	if s.Choices != nil {
		return strings.Join(s.Choices(), ", ")
	}
	return formatNumber(s.Min) + " to " + formatNumber(s.Max)
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// set decodes a JSON value into the setting's field of target.
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
		return errors.NotValidf("%s (want a string)", raw)
	}
	if !slices.Contains(s.Choices(), t) {
		return errors.NotValidf("%q (want one of %s)", t, s.Bounds())
	}
	*s.text(target) = t
	return nil
}

// defaults sets all fields of a table to their defaults.
func defaults[T any](table []Setting[T], target *T) {
	for _, s := range table {
		if s.Choices != nil {
			*s.text(target) = s.Default
			continue
		}
		// The defaults are valid numbers: TestDefaultsAreWithinBounds parses
		// those of ServiceSettings.
		*s.number(target), _ = strconv.ParseFloat(s.Default, 64)
	}
}

// apply decodes the members of a JSON object into target. Errors name the path
// of the invalid member.
func apply[T any](table []Setting[T], target *T, path string, raw json.RawMessage) error {
	if len(raw) == 0 {
		return nil
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil {
		return errors.NotValidf("%s: %s (want an object)", path, raw)
	}
	for _, key := range sortedKeys(members) {
		if slices.Contains(retiredKeys, key) {
			continue
		}
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

// retiredKeys are keys of earlier releases. They are accepted in documents and
// ignored.
var retiredKeys = []string{
	"admission", "limit", "retry", "retry-part", "hedge", "hedge-part", "hedge-quantile", "watchers", "backstop-s",
	"home-group", "direct-divisor",
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Values of the on-short setting.
const (
	// OnShortWait waits for all shards until the deadline.
	OnShortWait = "wait"
	// OnShortAnswer returns the shards that have replied by answer-after-ms.
	OnShortAnswer = "answer"
)

// Values of the routing setting.
const (
	// RouteViaHomes sends all calls to an upstream through one VM.
	RouteViaHomes = "homes"
	// RouteDirect lets every VM call upstreams itself.
	RouteDirect = "direct"
)

// Service is the configuration of one service.
type Service struct {
	FloorUrgent, FloorRoutine, FloorBulk float64
	MaxAttempts                          float64
	LeastCoverage                        float64
	OnShort                              string
	AnswerAfterMS                        float64
	DefaultDeadlineMS, MaxDeadlineMS     float64
	RunUnclaimed                         string
}

// Floors returns the capacity floors by rank.
func (s *Service) Floors() leverrank.Floors {
	return leverrank.Floors{s.FloorUrgent, s.FloorRoutine, s.FloorBulk}
}

// System is the configuration shared by all services.
type System struct {
	Routing      string
	ExtraPart    float64
	ExtraSlack   float64
	ExtraWindowS float64
	ClaimKeepS   float64
	MaxInFlight  float64
	StopWaitMS   float64
	StopLimitMS  float64
	StoreRate    float64
	ClaimRate    float64
}

func oneOf(choices ...string) func() []string { return func() []string { return choices } }

// ServiceSettings lists the keys of a service and of the defaults section.
var ServiceSettings = []Setting[Service]{
	{Key: "floor-urgent", Unit: "fraction of capacity", Default: "0", Max: 0.9,
		Doc:    "capacity reserved for urgent requests while there is demand for it",
		number: func(s *Service) *float64 { return &s.FloorUrgent }},
	{Key: "floor-routine", Unit: "fraction of capacity", Default: "0.25", Max: 0.9,
		Doc:    "capacity reserved for routine requests while there is demand for it",
		number: func(s *Service) *float64 { return &s.FloorRoutine }},
	{Key: "floor-bulk", Unit: "fraction of capacity", Default: "0.07", Max: 0.9,
		Doc:    "capacity reserved for bulk requests while there is demand for it",
		number: func(s *Service) *float64 { return &s.FloorBulk }},
	{Key: "max-attempts", Unit: "upstreams", Default: "2", Min: 1, Max: 16,
		Doc:    "maximum number of upstreams that a query may run on, per shard",
		number: func(s *Service) *float64 { return &s.MaxAttempts }},
	{Key: "least-coverage", Unit: "fraction of shards", Default: "0.5", Max: 1,
		Doc:    "minimum coverage; an answer with less is refused as incomplete",
		number: func(s *Service) *float64 { return &s.LeastCoverage }},
	{Key: "on-short", Default: OnShortWait, Choices: oneOf(OnShortWait, OnShortAnswer),
		Doc:  "with shards missing: wait for them until the deadline, or answer at answer-after-ms",
		text: func(s *Service) *string { return &s.OnShort }},
	{Key: "answer-after-ms", Unit: "ms", Default: "200", Min: 1, Max: 60000,
		Doc:    "target response time; with on-short answer, when to return an answer that reaches least-coverage",
		number: func(s *Service) *float64 { return &s.AnswerAfterMS }},
	{Key: "default-deadline-ms", Unit: "ms", Default: "1000", Min: 1, Max: 60000,
		Doc:    "deadline of a request that does not set one",
		number: func(s *Service) *float64 { return &s.DefaultDeadlineMS }},
	{Key: "max-deadline-ms", Unit: "ms", Default: "10000", Min: 1, Max: 60000,
		Doc:    "longest deadline that a request may set",
		number: func(s *Service) *float64 { return &s.MaxDeadlineMS }},
	{Key: "run-unclaimed", Default: "no", Choices: oneOf("no", "yes"),
		Doc:  "send requests that are not repeatable even while the store is down; they may then run twice",
		text: func(s *Service) *string { return &s.RunUnclaimed }},
}

// SystemSettings lists the keys of the system section.
var SystemSettings = []Setting[System]{
	{Key: "routing", Default: RouteViaHomes, Choices: oneOf(RouteViaHomes, RouteDirect),
		Doc:  "call each upstream through one VM, its home, or directly from every VM",
		text: func(s *System) *string { return &s.Routing }},
	{Key: "extra-part", Unit: "fraction of queries", Default: "0.1", Max: 1,
		Doc:    "limit on the retries and hedged attempts of all VMs together",
		number: func(s *System) *float64 { return &s.ExtraPart }},
	{Key: "extra-slack", Unit: "attempts", Default: "100", Max: 10000,
		Doc:    "retries and hedged attempts allowed per service in each window, whatever the number of queries",
		number: func(s *System) *float64 { return &s.ExtraSlack }},
	{Key: "extra-window-s", Unit: "s", Default: "10", Min: 1, Max: 600,
		Doc:    "length of the window for extra-part and extra-slack",
		number: func(s *System) *float64 { return &s.ExtraWindowS }},
	{Key: "claim-keep-s", Unit: "s", Default: "900", Min: 180, Max: 86400,
		Doc:    "how long the id of a request that is not repeatable stays claimed",
		number: func(s *System) *float64 { return &s.ClaimKeepS }},
	{Key: "max-in-flight", Unit: "requests", Default: "4000", Min: 1, Max: 1e6,
		Doc:    "maximum number of requests in flight on one VM",
		number: func(s *System) *float64 { return &s.MaxInFlight }},
	{Key: "stop-wait-ms", Unit: "ms", Default: "2000", Max: 60000,
		Doc:    "how long a stopping VM still accepts requests, so that the load balancer can notice the stop",
		number: func(s *System) *float64 { return &s.StopWaitMS }},
	{Key: "stop-limit-ms", Unit: "ms", Default: "15000", Min: 100, Max: 120000,
		Doc:    "how long a stopping VM waits for requests in flight",
		number: func(s *System) *float64 { return &s.StopLimitMS }},
	{Key: "store-rate", Unit: "calls/s", Default: "20", Min: 1, Max: 1000,
		Doc:    "maximum rate of calls from one VM to the store",
		number: func(s *System) *float64 { return &s.StoreRate }},
	{Key: "claim-rate", Unit: "calls/s", Default: "200", Min: 1, Max: 100000,
		Doc:    "maximum rate of claim calls to the store from all VMs together; each VM has an equal share",
		number: func(s *System) *float64 { return &s.ClaimRate }},
}
