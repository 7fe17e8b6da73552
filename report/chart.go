// SPDX-License-Identifier: MIT

package report

import (
	"bytes"
	"html/template"
	"image/color"
	"regexp"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Point is one value of a series.
type Point struct{ X, Y float64 }

// Series is a named line of a chart.
type Series struct {
	Name   string
	Points []Point
	// Steps draws each value up to the next, for what changes at moments.
	Steps bool
}

// Chart is a drawn chart. The zero value draws nothing.
type Chart struct{ svg template.HTML }

// The size of a chart on the page, and of the part to its right that names the
// series, so that no name covers a line.
const (
	chartWidth  = 22 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
	legendWidth = 4 * vg.Centimeter
	legendTop   = 0.8 * vg.Centimeter
)

// drawing is a plot and the names of its series.
type drawing struct {
	*plot.Plot
	legend plot.Legend
}

// palette is that of Okabe and Ito (2008), which readers with any colour vision
// can tell apart.
var palette = []color.Color{
	color.RGBA{R: 0, G: 114, B: 178, A: 255},
	color.RGBA{R: 213, G: 94, B: 0, A: 255},
	color.RGBA{R: 0, G: 158, B: 115, A: 255},
	color.RGBA{R: 204, G: 121, B: 167, A: 255},
	color.RGBA{R: 230, G: 159, B: 0, A: 255},
	color.RGBA{R: 86, G: 180, B: 233, A: 255},
}

// Lines draws series over a common axis; x and y name the axes with their units.
func Lines(title, x, y string, series ...Series) (Chart, error) {
	p := newDrawing(title, x, y)
	for i, s := range series {
		if len(s.Points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points(s.Points))
		if err != nil {
			return Chart{}, eris.Wrapf(err, "draw %s of %s", s.Name, title)
		}
		line.Color = palette[i%len(palette)]
		line.Width = vg.Points(1.2)
		if i >= len(palette) {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
		}
		if s.Steps {
			line.StepStyle = plotter.PostStep
		}
		p.Add(line)
		p.legend.Add(s.Name, line)
	}
	return render(p)
}

// Stacked draws series of values at the same positions as areas on each other.
func Stacked(title, x, y string, series ...Series) (Chart, error) {
	p := newDrawing(title, x, y)
	var below []float64
	for i, s := range series {
		if below == nil {
			below = make([]float64, len(s.Points))
		}
		if len(s.Points) != len(below) {
			return Chart{}, eris.Errorf("%s of %s has %d values, the series before it %d", s.Name, title, len(s.Points), len(below))
		}
		if len(s.Points) == 0 {
			continue
		}
		area, err := plotter.NewPolygon(band(s.Points, below))
		if err != nil {
			return Chart{}, eris.Wrapf(err, "draw %s of %s", s.Name, title)
		}
		area.Color = palette[i%len(palette)]
		area.LineStyle.Width = 0
		p.Add(area)
		p.legend.Add(s.Name, swatch{area.Color})
	}
	return render(p)
}

// band is the outline of a series that stands on what is below, which it raises.
func band(values []Point, below []float64) plotter.XYs {
	outline := make(plotter.XYs, 0, 2*len(values))
	for i, v := range values {
		outline = append(outline, plotter.XY{X: v.X, Y: below[i] + v.Y})
	}
	for i := len(values) - 1; i >= 0; i-- {
		outline = append(outline, plotter.XY{X: values[i].X, Y: below[i]})
		below[i] += values[i].Y
	}
	return outline
}

// swatch is the mark of an area in a legend.
type swatch struct{ color color.Color }

// Thumbnail implements plot.Thumbnailer.
func (s swatch) Thumbnail(c *draw.Canvas) {
	corners := []vg.Point{
		{X: c.Min.X, Y: c.Min.Y}, {X: c.Min.X, Y: c.Max.Y}, {X: c.Max.X, Y: c.Max.Y}, {X: c.Max.X, Y: c.Min.Y},
	}
	c.FillPolygon(s.color, c.ClipPolygonXY(corners))
}

func newDrawing(title, x, y string) drawing {
	p := drawing{Plot: plot.New(), legend: plot.NewLegend()}
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Y.Min = 0
	p.legend.Top, p.legend.Left = true, true
	p.legend.Padding = vg.Points(2)
	p.Add(plotter.NewGrid())
	return p
}

func points(from []Point) plotter.XYs {
	xys := make(plotter.XYs, len(from))
	for i, p := range from {
		xys[i] = plotter.XY{X: p.X, Y: p.Y}
	}
	return xys
}

// prolog is what stands before the root element of a drawing: it belongs to a
// file of its own and not into a page.
var prolog = regexp.MustCompile(`(?s)^.*?(<svg)`)

func render(p drawing) (Chart, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	whole := draw.New(canvas)
	p.Draw(draw.Crop(whole, 0, -legendWidth, 0, 0))
	p.legend.Draw(draw.Crop(whole, chartWidth-legendWidth+vg.Points(6), 0, 0, -legendTop))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return Chart{}, eris.Wrap(err, "write chart")
	}
	return Chart{svg: template.HTML(prolog.ReplaceAllString(b.String(), "$1"))}, nil // The library escapes its texts.
}
