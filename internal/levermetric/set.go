// Package levermetric collects the metrics of a process and serves them as text,
// one line per value, with names in kebab case and labels in braces.
package levermetric

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the upper bound of the histograms. Longer times count as
	// maxDuration.
	maxDuration = time.Minute
	// significantDigits is the resolution of the histograms.
	significantDigits = 2
	// maxSeries is the maximum number of counters, and of histograms. Counters
	// beyond it are added up in other-series, histograms are discarded.
	maxSeries = 2000
)

// quantiles are the quantiles written for each histogram, in percent.
var quantiles = []float64{50, 90, 99, 99.9, 100}

// Set is the metrics of one process. The zero value is ready to use; Add and
// Observe on a nil Set do nothing. It is safe for concurrent use.
type Set struct {
	mu         sync.Mutex
	counters   map[string]int64
	histograms map[string]*hdrhistogram.Histogram
	gauges     map[string]func() float64
}

// Name returns the name of a series. The labels are alternating names and
// values.
func Name(name string, labels ...string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name + "{")
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteString(",")
		}
		b.WriteString(labels[i] + "=" + strconv.Quote(labels[i+1]))
	}
	b.WriteString("}")
	return b.String()
}

// Add adds n to the counter with the given name.
func (s *Set) Add(name string, n int64) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counters == nil {
		s.counters = make(map[string]int64)
	}
	if _, ok := s.counters[name]; !ok && len(s.counters) >= maxSeries {
		name = "other-series"
	}
	s.counters[name] += n
}

// Observe records d in the histogram with the given name. The histogram is
// written as name-count and as the quantiles name-ms, in milliseconds.
func (s *Set) Observe(name string, d time.Duration) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histograms[name]
	if h == nil {
		if len(s.histograms) >= maxSeries {
			return
		}
		if s.histograms == nil {
			s.histograms = make(map[string]*hdrhistogram.Histogram)
		}
		h = hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)
		s.histograms[name] = h
	}
	// RecordValue fails only for values outside the histogram's bounds.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxDuration.Microseconds()))
}

// Gauge registers a gauge. Each time the metrics are written, f is called for
// its value, without locks held.
func (s *Set) Gauge(name string, f func() float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gauges == nil {
		s.gauges = make(map[string]func() float64)
	}
	s.gauges[name] = f
}

// Write writes all values to w, sorted by name.
func (s *Set) Write(w io.Writer) error {
	for _, line := range s.lines() {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

func (s *Set) lines() []string {
	s.mu.Lock()
	gauges := maps.Clone(s.gauges)
	var out []string
	for name, v := range s.counters {
		out = append(out, name+" "+strconv.FormatInt(v, 10))
	}
	for name, h := range s.histograms {
		out = append(out, seriesName(name, "count", "")+" "+strconv.FormatInt(h.TotalCount(), 10))
		for _, q := range quantiles {
			label := strconv.FormatFloat(q/100, 'g', -1, 64)
			out = append(out, seriesName(name, "ms", label)+" "+strconv.FormatFloat(float64(h.ValueAtQuantile(q))/1000, 'f', 3, 64))
		}
	}
	s.mu.Unlock()
	// A gauge may acquire other locks, so it is called after s.mu is released.
	for name, f := range gauges {
		out = append(out, name+" "+strconv.FormatFloat(f(), 'g', 6, 64))
	}
	slices.Sort(out)
	return out
}

// seriesName appends a suffix to the base name of a histogram and adds a
// quantile label, if given.
func seriesName(name, suffix, quantile string) string {
	base, labels, _ := strings.Cut(name, "{")
	labels = strings.TrimSuffix(labels, "}")
	if quantile != "" {
		if labels != "" {
			labels += ","
		}
		labels += "quantile=" + strconv.Quote(quantile)
	}
	base += "-" + suffix
	if labels == "" {
		return base
	}
	return base + "{" + labels + "}"
}

// ServeHTTP serves the metrics as text.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A write error means that the client has disconnected.
	_ = s.Write(w)
}
