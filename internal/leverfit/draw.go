package leverfit

import (
	"fmt"
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	tileWidth   = 6 * vg.Centimeter
	tileHeight  = 5 * vg.Centimeter
	tilePad     = 7 * vg.Millimeter
	tileColumns = 4
)

const tableHead = `# Slopes

Written by scripts/slopes.sh: the points, and the straight line through them. The
sizes of "index" series are services at 7 VMs, of "control" series VMs with 50
services.

`

// Table writes the series and their fitted lines as a Markdown page.
func Table(w io.Writer, all []Series) error {
	var b strings.Builder
	b.WriteString(tableHead)
	b.WriteString("| measured | unit | against | points | at zero | slope | fit R2 |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for i := range all {
		s := &all[i]
		if len(s.Points) < 2 {
			continue
		}
		l := s.Fit()
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.Size, p.Value))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %.4g | %.4g | %.3f |\n",
			s.Name, s.Unit, s.SizeUnit, strings.Join(points, ", "), l.Base, l.Slope, l.R2)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// Draw writes an SVG image with one plot per series.
func Draw(w io.Writer, all []Series) error {
	rows := (len(all) + tileColumns - 1) / tileColumns
	canvas := vgsvg.New(tileColumns*tileWidth, vg.Length(max(rows, 1))*tileHeight)
	tiles := draw.Tiles{
		Rows: max(rows, 1), Cols: tileColumns, PadX: tilePad, PadY: vg.Millimeter, PadRight: tilePad, PadLeft: vg.Millimeter,
	}
	for i := range all {
		p, err := newPlot(&all[i])
		if err != nil {
			return err
		}
		p.Draw(tiles.At(draw.New(canvas), i%tileColumns, i/tileColumns))
	}
	_, err := canvas.WriteTo(w)
	return err
}

func newPlot(s *Series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.SizeUnit
	p.Y.Label.Text = s.Unit
	p.Y.Min = 0
	points := make(plotter.XYs, len(s.Points))
	for i, pt := range s.Points {
		points[i] = plotter.XY{X: pt.Size, Y: pt.Value}
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	p.Add(dots)
	if len(s.Points) > 1 {
		l := s.Fit()
		p.Add(plotter.NewFunction(func(x float64) float64 { return l.Base + l.Slope*x }))
	}
	return p, nil
}
