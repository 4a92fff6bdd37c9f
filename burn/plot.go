package burn

import (
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"amaranthpaddle/fault"
)

// Size of a plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	legendRoom = 1.35 // height of the vertical axis relative to the highest value
)

// Chart says what a plot shows.
type Chart string

// The charts of a service's day.
const (
	ChartBurnRate Chart = "burn"    // burn rate, with the rate that uses up the budget in one day
	ChartLatency  Chart = "latency" // 99th percentile of the latency, with the objective
)

// Format is a plot's file format.
type Format string

// The plot formats.
const (
	FormatSVG Format = "svg"
	FormatPNG Format = "png"
)

var (
	lineColor  = color.RGBA{R: 0x1f, G: 0x5a, B: 0xa6, A: 0xff}
	limitColor = color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff}
)

// WritePlot draws a chart of service's day. It returns fault.InvalidArgument
// for a chart or format that is not known.
func WritePlot(w io.Writer, report *Report, service *ServiceReport, chart Chart, format Format) error {
	values, limit, title, unit, err := chartValues(service, chart)
	if err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = service.Name + ": " + title
	p.Y.Label.Text = unit
	p.X.Min = float64(report.DayStart.Unix())
	p.X.Max = float64(max(report.Time.Unix(), report.DayStart.Unix()+int64(time.Hour/time.Second)))
	p.X.Tick.Marker = hourTicks{location: report.DayStart.Location()}
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	if err := addLines(p, values, limit); err != nil {
		return err
	}
	p.Y.Max = legendRoom * max(limit, highest(values))
	target, err := p.WriterTo(plotWidth, plotHeight, string(format))
	if err != nil {
		return fault.Wrap(fault.InvalidArgument, err, "plot")
	}
	_, err = target.WriteTo(w)
	return fault.Wrap(fault.ConnectionLost, err, "write plot")
}

// hourTicks marks whole hours, a few of them with their time of day.
type hourTicks struct {
	location *time.Location
}

// Ticks returns the marks between the times low and high, seconds since 1970.
func (h hourTicks) Ticks(low, high float64) []plot.Tick {
	const maxLabels = 9
	hours := int((high - low) / time.Hour.Seconds())
	step := 1 + hours/maxLabels
	first := time.Unix(int64(low), 0).In(h.location).Truncate(time.Hour)
	var ticks []plot.Tick
	for i := 0; i <= hours+1; i++ {
		at := first.Add(time.Duration(i) * time.Hour)
		if value := float64(at.Unix()); value >= low && value <= high {
			tick := plot.Tick{Value: value}
			if i%step == 0 {
				tick.Label = at.Format("15:04")
			}
			ticks = append(ticks, tick)
		}
	}
	return ticks
}

// chartValues returns the points of a chart and the limit that they are to stay below.
func chartValues(s *ServiceReport, chart Chart) (values plotter.XYs, limit float64, title, unit string, err error) {
	for _, point := range s.Series {
		value := point.BurnRate
		if chart == ChartLatency {
			value = point.P99Millis
		}
		values = append(values, plotter.XY{X: float64(point.Time.Add(shortWindow / 2).Unix()), Y: value})
	}
	switch chart {
	case ChartBurnRate:
		return values, 1, "error-budget burn rate", "burn rate", nil
	case ChartLatency:
		return values, s.ObjectiveMillis, "latency, 99th percentile", "milliseconds", nil
	}
	return nil, 0, "", "", fault.Newf(fault.InvalidArgument, "no chart %q", chart)
}

func addLines(p *plot.Plot, values plotter.XYs, limit float64) error {
	limitLine, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: limit}, {X: p.X.Max, Y: limit}})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "plot")
	}
	limitLine.Color = limitColor
	limitLine.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(limitLine)
	p.Legend.Add("limit", limitLine)
	p.Legend.Top = true
	p.Legend.XOffs = -vg.Points(6)
	if len(values) == 0 {
		return nil
	}
	line, points, err := plotter.NewLinePoints(values)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "plot")
	}
	line.Color = lineColor
	line.Width = vg.Points(1.5)
	points.Color = lineColor
	points.Radius = vg.Points(1.5)
	p.Add(line, points)
	p.Legend.Add("every 5 minutes", line)
	return nil
}

func highest(values plotter.XYs) float64 {
	top := 0.0
	for _, v := range values {
		top = max(top, v.Y)
	}
	return top
}
