// Package leverfit reads the output of benchmarks, fits straight lines to the
// measurements and plots them.
package leverfit

import (
	"bufio"
	"cmp"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Point is a value measured at a size.
type Point struct {
	Size, Value float64
}

// Series is the measurements of one quantity.
type Series struct {
	Name string
	// Unit is the unit of the values, SizeUnit that of the sizes.
	Unit, SizeUnit string
	Points         []Point
}

// Line is a straight line fitted to a series.
type Line struct {
	// Base is the value at size zero, Slope the increase per unit of size.
	Base, Slope float64
	// R2 is the coefficient of determination.
	R2 float64
}

// Fit returns the least-squares line of a series of at least two points.
func (s *Series) Fit() Line {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.Size, p.Value
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	return Line{Base: base, Slope: slope, R2: stat.RSquared(xs, ys, nil, base, slope)}
}

// seriesSet holds series by name, in the order of their first point.
type seriesSet struct {
	order  []string
	byName map[string]*Series
}

func (s *seriesSet) add(name, unit, sizeUnit string, p Point) {
	if s.byName == nil {
		s.byName = make(map[string]*Series)
	}
	series := s.byName[name]
	if series == nil {
		series = &Series{Name: name, Unit: unit, SizeUnit: sizeUnit}
		s.byName[name] = series
		s.order = append(s.order, name)
	}
	series.Points = append(series.Points, p)
}

func (s *seriesSet) list() []Series {
	var out []Series
	for _, n := range s.order {
		series := s.byName[n]
		slices.SortFunc(series.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
		out = append(out, *series)
	}
	return out
}

// benchLine matches a result of "go test -bench" whose name ends in a size.
var benchLine = regexp.MustCompile(`^Benchmark(\w+)/(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// controlColumns are the columns of the control table after the two sizes.
// Columns without a name are not plotted.
var controlColumns = []struct{ name, unit string }{
	{"calls", "calls/s"}, {"", ""}, {"", ""}, {"bytes", "B/s"}, {"change", "B"}, {"in force", "ms"},
	{"heap", "KiB"}, {"connections", ""},
}

// Read parses the output of the benchmarks and of the control runs. It ignores
// other lines.
func Read(r io.Reader) ([]Series, error) {
	var s seriesSet
	scan := bufio.NewScanner(r)
	for scan.Scan() {
		line := scan.Text()
		if m := benchLine.FindStringSubmatch(line); m != nil {
			s.addBenchmark(m[1], m[2], strings.Fields(m[3]))
			continue
		}
		s.addControl(strings.Fields(line))
	}
	return s.list(), scan.Err()
}

// addBenchmark adds the ns/op and B/op values of a benchmark result. The fields
// are alternating values and units.
func (s *seriesSet) addBenchmark(name, size string, fields []string) {
	n, err := strconv.ParseFloat(size, 64)
	if err != nil {
		return
	}
	for i := 0; i+1 < len(fields); i += 2 {
		v, err := strconv.ParseFloat(fields[i], 64)
		if err == nil && (fields[i+1] == "ns/op" || fields[i+1] == "B/op") {
			s.add(name+" "+fields[i+1], fields[i+1], "leafs of a query", Point{n, v})
		}
	}
}

// controlServices is the number of services in the runs that vary the number of
// VMs, controlVMs the number of VMs in those that vary the services.
const (
	controlServices = 50
	controlVMs      = 7
)

// addControl adds the values of a row of the control table. Its numbers may
// follow other fields, such as the file and line that a test log begins with.
func (s *seriesSet) addControl(fields []string) {
	if len(fields) < len(controlColumns)+2 {
		return
	}
	var values []float64
	for _, f := range fields[len(fields)-len(controlColumns)-2:] {
		v, err := strconv.ParseFloat(f, 64)
		if err != nil {
			return
		}
		values = append(values, v)
	}
	for i, c := range controlColumns {
		if c.name == "" {
			continue
		}
		if values[1] == controlServices {
			s.add("control "+c.name, c.unit, "VMs", Point{values[0], values[i+2]})
		}
		if values[0] == controlVMs {
			s.add("index "+c.name, c.unit, "services of 2 shards", Point{values[1], values[i+2]})
		}
	}
}
