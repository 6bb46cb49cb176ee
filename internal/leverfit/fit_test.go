package leverfit_test

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"arbutuslever.dev/lever/internal/leverfit"

	"github.com/matryer/is"
)

const output = `goos: linux
BenchmarkPlan/10-8         	   1000	      110 ns/op	       0 B/op	       0 allocs/op
BenchmarkPlan/100-8        	   1000	     1010 ns/op	       0 B/op	       0 allocs/op
    control_test.go:30:      7        50      1.11      0.74      0.41       109     976.7         5        576          5.9
    control_test.go:30:     70        50      4.29      1.57      2.92       109    1165.0        15        847         14.7
ok  	something	1.2s
`

func TestReadFitDraw(t *testing.T) {
	is := is.New(t)
	all, err := leverfit.Read(strings.NewReader(output))
	is.NoErr(err)
	found := make(map[string]leverfit.Line)
	for _, s := range all {
		if len(s.Points) > 1 {
			found[s.Name] = s.Fit()
		}
	}
	is.True(math.Abs(found["Plan ns/op"].Slope-10) < 1e-9)
	is.True(math.Abs(found["Plan ns/op"].Base-10) < 1e-9)
	is.True(math.Abs(found["control heap"].Slope-271.0/63) < 1e-9)
	var table, svg bytes.Buffer
	is.NoErr(leverfit.Table(&table, all))
	is.NoErr(leverfit.Draw(&svg, all))
	is.True(strings.Contains(table.String(), "| control in force | ms | VMs | 7: 5, 70: 15 |"))
	is.True(strings.Contains(svg.String(), "</svg>"))
}
