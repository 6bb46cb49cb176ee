// Package levermetric counts and measures what a process does, and serves it as
// text: one line for each value, names in kebab case, labels in braces.
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
	// longest is the longest time that a histogram tells apart.
	longest = time.Minute
	// digits is the number of significant digits of a histogram.
	digits = 2
	// maxSeries bounds the label sets of a process. What comes after them is
	// counted together.
	maxSeries = 2000
)

var quantiles = []float64{50, 90, 99, 99.9, 100}

// Set is the metrics of one process. A nil set takes everything and keeps
// nothing; the zero value is ready to use. It is safe for concurrent use.
type Set struct {
	mu       sync.Mutex
	counters map[string]int64
	times    map[string]*hdrhistogram.Histogram
	gauges   map[string]func() float64
}

// Name returns the name of a series: labels come as names and values in turn.
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

// Add adds n to a counter.
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

// Observe adds a time to a histogram.
func (s *Set) Observe(name string, d time.Duration) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.times[name]
	if h == nil {
		if len(s.times) >= maxSeries {
			return
		}
		if s.times == nil {
			s.times = make(map[string]*hdrhistogram.Histogram)
		}
		h = hdrhistogram.New(1, longest.Microseconds(), digits)
		s.times[name] = h
	}
	// The value is within the histogram's bounds.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longest.Microseconds()))
}

// Gauge has f asked for a value each time that the metrics are read.
func (s *Set) Gauge(name string, f func() float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gauges == nil {
		s.gauges = make(map[string]func() float64)
	}
	s.gauges[name] = f
}

// Write writes all values in the order of their names.
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
	for name, h := range s.times {
		out = append(out, series(name, "count", "")+" "+strconv.FormatInt(h.TotalCount(), 10))
		for _, q := range quantiles {
			label := strconv.FormatFloat(q/100, 'g', -1, 64)
			out = append(out, series(name, "ms", label)+" "+strconv.FormatFloat(float64(h.ValueAtQuantile(q))/1000, 'f', 3, 64))
		}
	}
	s.mu.Unlock()
	// A gauge may take locks of its own.
	for name, f := range gauges {
		out = append(out, name+" "+strconv.FormatFloat(f(), 'g', 6, 64))
	}
	slices.Sort(out)
	return out
}

// series puts a suffix and a quantile into a histogram's name.
func series(name, suffix, quantile string) string {
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
	// A reader that is gone needs no answer.
	_ = s.Write(w)
}
