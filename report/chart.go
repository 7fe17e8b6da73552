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

// Point is one point of a series.
type Point struct{ X, Y float64 }

// Series is a named line of a chart.
type Series struct {
	Name   string
	Points []Point
	// Steps draws the line horizontally from each point to the next instead of sloped, for
	// values that change at once.
	Steps bool
}

// Chart is a drawn chart. The zero value draws nothing.
type Chart struct{ svg template.HTML }

// The size of a chart, and of the legend in its right part. The legend is outside the
// plot, so that it covers no line.
const (
	chartWidth  = 22 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
	legendWidth = 4 * vg.Centimeter
	legendTop   = 0.8 * vg.Centimeter
)

// drawing is a plot with a legend outside of it.
type drawing struct {
	*plot.Plot
	legend plot.Legend
}

// palette is the colour palette of Okabe and Ito (2008), whose colours can be told apart
// with any kind of colour vision.
var palette = []color.Color{
	color.RGBA{R: 0, G: 114, B: 178, A: 255},
	color.RGBA{R: 213, G: 94, B: 0, A: 255},
	color.RGBA{R: 0, G: 158, B: 115, A: 255},
	color.RGBA{R: 204, G: 121, B: 167, A: 255},
	color.RGBA{R: 230, G: 159, B: 0, A: 255},
	color.RGBA{R: 86, G: 180, B: 233, A: 255},
}

// Lines draws series as lines over a common axis. x and y are the labels of the axes,
// with units. A series without points is left out.
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

// Stacked draws series as areas stacked on each other. All series must have points at the
// same positions.
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
		area, err := plotter.NewPolygon(outlineAbove(s.Points, below))
		if err != nil {
			return Chart{}, eris.Wrapf(err, "draw %s of %s", s.Name, title)
		}
		area.Color = palette[i%len(palette)]
		area.LineStyle.Width = 0
		p.Add(area)
		p.legend.Add(s.Name, legendSwatch{area.Color})
	}
	return render(p)
}

// outlineAbove returns the outline of a series stacked on the series below it, and adds
// its values to below.
func outlineAbove(values []Point, below []float64) plotter.XYs {
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

// legendSwatch is the sample of an area's colour in a legend.
type legendSwatch struct{ color color.Color }

// Thumbnail implements plot.Thumbnailer.
func (s legendSwatch) Thumbnail(c *draw.Canvas) {
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

// prolog matches what an SVG file has before its root element, which must not be in an
// HTML page.
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
	return Chart{svg: template.HTML(prolog.ReplaceAllString(b.String(), "$1"))}, nil // The SVG library escapes texts.
}
