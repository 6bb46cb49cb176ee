// Package leverfit reads measurements, fits straight lines through them and
// draws them.
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

// Point is one measurement: a figure at a size.
type Point struct {
	Size, Value float64
}

// Series are the measurements of one thing.
type Series struct {
	Name string
	// Unit is that of the values, By what the sizes count.
	Unit, By string
	Points   []Point
}

// Line is a straight line through a series.
type Line struct {
	// Base is the value at size zero, Slope the growth for each unit of size.
	Base, Slope float64
	// R2 is the share of the variance that the line explains.
	R2 float64
}

// Fit returns the least-squares line through a series of at least two points.
func (s *Series) Fit() Line {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.Size, p.Value
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	return Line{Base: base, Slope: slope, R2: stat.RSquared(xs, ys, nil, base, slope)}
}

// set collects series by name.
type set struct {
	order  []string
	byName map[string]*Series
}

func (s *set) add(name, unit, by string, p Point) {
	if s.byName == nil {
		s.byName = make(map[string]*Series)
	}
	x := s.byName[name]
	if x == nil {
		x = &Series{Name: name, Unit: unit, By: by}
		s.byName[name] = x
		s.order = append(s.order, name)
	}
	x.Points = append(x.Points, p)
}

func (s *set) list() []Series {
	var out []Series
	for _, n := range s.order {
		x := s.byName[n]
		slices.SortFunc(x.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
		out = append(out, *x)
	}
	return out
}

// benchLine is a line of "go test -bench" whose name ends in a size.
var benchLine = regexp.MustCompile(`^Benchmark(\w+)/(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// columns are the columns of the control table that are drawn.
var columns = []struct{ name, unit string }{
	{"calls", "calls/s"}, {"", ""}, {"", ""}, {"bytes", "B/s"}, {"change", "B"}, {"in force", "ms"},
	{"heap", "KiB"}, {"connections", ""},
}

// Read takes in the output of the benchmarks and of the control runs, line by
// line; other lines are passed over.
func Read(r io.Reader) ([]Series, error) {
	var s set
	scan := bufio.NewScanner(r)
	for scan.Scan() {
		line := scan.Text()
		if m := benchLine.FindStringSubmatch(line); m != nil {
			s.bench(m[1], m[2], strings.Fields(m[3]))
			continue
		}
		s.control(strings.Fields(line))
	}
	return s.list(), scan.Err()
}

func (s *set) bench(name, size string, fields []string) {
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

// controlServices is the number of services while VMs vary; controlVMs that of
// VMs while services vary.
const (
	controlServices = 50
	controlVMs      = 7
)

func (s *set) control(fields []string) {
	if len(fields) < len(columns)+2 {
		return
	}
	var nums []float64
	for _, f := range fields[len(fields)-len(columns)-2:] {
		v, err := strconv.ParseFloat(f, 64)
		if err != nil {
			return
		}
		nums = append(nums, v)
	}
	for i, c := range columns {
		if c.name == "" {
			continue
		}
		if nums[1] == controlServices {
			s.add("control "+c.name, c.unit, "VMs", Point{nums[0], nums[i+2]})
		}
		if nums[0] == controlVMs {
			s.add("index "+c.name, c.unit, "services of 2 shards", Point{nums[1], nums[i+2]})
		}
	}
}
