package exper

import (
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter //nolint:misspell // name of the library
	plotHeight = 10 * vg.Centimeter //nolint:misspell // name of the library
	barWidth   = 10                 // points
)

// chart describes one measure that is drawn for each deployment.
type chart struct {
	file, title, unit string
	value             func(m *Result) float64
}

var charts = []chart{
	{"replica-share", "Reads served by replicas", "%", func(m *Result) float64 { return 100 * m.ReplicaShare }},
	{"failover-gap", "Longest time without an acknowledged write", "s", func(m *Result) float64 { return m.Gap }},
	{"worst-account", "In-rate requests of the worst-served account answered in time", "%", func(m *Result) float64 { return 100 * m.WorstInTime }},
	{"wrongful", "Refused although inside the rate", "%", func(m *Result) float64 { return 100 * share(int64(m.Wrongful), int64(m.WithinQuota)) }},
}

// Plot draws each of the four measures by scenario and version into an SVG file
// in dir.
func Plot(dir string, all []*Result) error {
	for _, name := range distinct(all, func(m *Result) string { return m.Deployment }) {
		own := slices.Clone(all)
		own = slices.DeleteFunc(own, func(m *Result) bool { return m.Deployment != name })
		for _, c := range charts {
			if err := c.draw(filepath.Join(dir, name+"-"+c.file+".svg"), name, own); err != nil {
				return errors.Wrapf(err, "plot %s of %s", c.file, name)
			}
		}
	}
	return nil
}

func (c *chart) draw(path, deployment string, all []*Result) error {
	p := plot.New()
	p.Title.Text = c.title + ", " + deployment
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	scenarios := distinct(all, func(m *Result) string { return m.Scenario })
	for i, v := range distinct(all, func(m *Result) Version { return m.Version }) {
		bars, err := plotter.NewBarChart(c.values(all, scenarios, v), vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "make bars")
		}
		bars.Color = plotutil.Color(i) //nolint:misspell // name of the library
		bars.Offset = vg.Points(float64(barWidth * i))
		p.Add(bars)
		p.Legend.Add(string(v), bars)
	}
	p.NominalX(scenarios...)
	p.Legend.Top = true
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "save plot")
}

// values returns the measure of one version in the order of the scenarios.
func (c *chart) values(all []*Result, scenarios []string, v Version) plotter.Values {
	out := make(plotter.Values, len(scenarios))
	for _, m := range all {
		if m.Version == v {
			out[slices.Index(scenarios, m.Scenario)] = c.value(m)
		}
	}
	return out
}

// distinct returns the values of a field in the order of their first use.
func distinct[T comparable](all []*Result, field func(*Result) T) []T {
	var out []T
	for _, m := range all {
		if v := field(m); !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}
