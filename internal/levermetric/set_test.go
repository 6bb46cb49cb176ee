package levermetric_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/levermetric"

	"github.com/matryer/is"
)

func TestWrite(t *testing.T) {
	is := is.New(t)
	var s levermetric.Set
	s.Add(levermetric.Name("requests", "rank", "urgent"), 2)
	s.Gauge("vms-live", func() float64 { return 3 })
	for i := range 100 {
		s.Observe(levermetric.Name("request-time", "rank", "urgent"), time.Duration(i+1)*time.Millisecond)
	}
	var b bytes.Buffer
	is.NoErr(s.Write(&b))
	for _, want := range []string{
		`requests{rank="urgent"} 2`, "vms-live 3", `request-time-count{rank="urgent"} 100`,
		`request-time-ms{rank="urgent",quantile="0.5"} 50`,
	} {
		is.True(strings.Contains(b.String(), want)) // a line of the metrics
	}
}

func TestNilSet(*testing.T) {
	var s *levermetric.Set
	s.Add("a", 1)
	s.Observe("b", time.Second)
}
