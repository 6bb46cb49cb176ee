// Package leverconfig is the configuration that the platform keeps: its
// settings with their bounds, its checks, and the patches that change it.
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
		if slices.Contains(retired, key) {
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

// retired are keys of earlier releases. A document that has them stays valid;
// they have no effect.
var retired = []string{
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

// The choices of on-short.
const (
	// Wait holds an answer for all shards until the deadline.
	Wait = "wait"
	// Answer gives what is there at answer-after-ms.
	Answer = "answer"
)

// The choices of routing.
const (
	// Homes has the calls of each upstream go through one VM.
	Homes = "homes"
	// Direct has each VM call upstreams itself.
	Direct = "direct"
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

// Floors returns the ranks' floors.
func (s *Service) Floors() leverrank.Floors {
	return leverrank.Floors{s.FloorUrgent, s.FloorRoutine, s.FloorBulk}
}

// System is the configuration that all services share.
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

func fixed(choices ...string) func() []string { return func() []string { return choices } }

// ServiceSettings is the table of a service's keys.
var ServiceSettings = []Setting[Service]{
	{Key: "floor-urgent", Unit: "part of capacity", Default: "0", Max: 0.9,
		Doc:    "capacity kept for urgent work while it has demand",
		number: func(s *Service) *float64 { return &s.FloorUrgent }},
	{Key: "floor-routine", Unit: "part of capacity", Default: "0.25", Max: 0.9,
		Doc:    "capacity kept for routine work while it has demand",
		number: func(s *Service) *float64 { return &s.FloorRoutine }},
	{Key: "floor-bulk", Unit: "part of capacity", Default: "0.07", Max: 0.9,
		Doc:    "capacity kept for bulk work while it has demand",
		number: func(s *Service) *float64 { return &s.FloorBulk }},
	{Key: "max-attempts", Unit: "upstreams", Default: "2", Min: 1, Max: 16,
		Doc:    "upstreams that a query may run on, for each shard",
		number: func(s *Service) *float64 { return &s.MaxAttempts }},
	{Key: "least-coverage", Unit: "part of shards", Default: "0.5", Max: 1,
		Doc:    "an answer that covers less is refused as incomplete",
		number: func(s *Service) *float64 { return &s.LeastCoverage }},
	{Key: "on-short", Default: Wait, Choices: fixed(Wait, Answer),
		Doc:  "wait for missing shards to the deadline, or answer at answer-after-ms",
		text: func(s *Service) *string { return &s.OnShort }},
	{Key: "answer-after-ms", Unit: "ms", Default: "200", Min: 1, Max: 60000,
		Doc:    "aim for an answer; with on-short answer, when to answer with the least coverage",
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
	{Key: "routing", Default: Homes, Choices: fixed(Homes, Direct),
		Doc:  "call each upstream through one VM, its home, or direct from each VM",
		text: func(s *System) *string { return &s.Routing }},
	{Key: "extra-part", Unit: "part of queries", Default: "0.1", Max: 1,
		Doc:    "how many attempts all VMs together may make beside and after the first ones",
		number: func(s *System) *float64 { return &s.ExtraPart }},
	{Key: "extra-slack", Unit: "attempts", Default: "100", Max: 10000,
		Doc:    "attempts of that kind in each window that may be made whatever the number of queries, by service",
		number: func(s *System) *float64 { return &s.ExtraSlack }},
	{Key: "extra-window-s", Unit: "s", Default: "10", Min: 1, Max: 600,
		Doc:    "length of the window in which both are counted",
		number: func(s *System) *float64 { return &s.ExtraWindowS }},
	{Key: "claim-keep-s", Unit: "s", Default: "900", Min: 180, Max: 86400,
		Doc:    "how long the id of a request that is not repeatable stays claimed",
		number: func(s *System) *float64 { return &s.ClaimKeepS }},
	{Key: "max-in-flight", Unit: "requests", Default: "4000", Min: 1, Max: 1e6,
		Doc:    "requests that one VM works on at a time",
		number: func(s *System) *float64 { return &s.MaxInFlight }},
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
}
