package tool

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/wigeonusher/wigeonusher/policy/experiment"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// drawPlots writes one SVG file for each case and metric, with a line for each
// decision, and returns the files' names.
func drawPlots(directory string, series []experiment.Series) ([]string, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, eris.Wrap(err, "tool: directory of plots")
	}
	var names []string
	for _, group := range groupSeries(series) {
		name := filepath.Join(directory, fileName(group[0].Case+" "+group[0].Metric)+".svg")
		if err := drawPlot(name, group); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

// groupSeries puts together what belongs into one plot, in the order given.
func groupSeries(series []experiment.Series) [][]experiment.Series {
	var groups [][]experiment.Series
	at := make(map[string]int)
	for _, one := range series {
		key := one.Case + "\x00" + one.Metric
		known, ok := at[key]
		if !ok {
			known = len(groups)
			at[key] = known
			groups = append(groups, nil)
		}
		groups[known] = append(groups[known], one)
	}
	return groups
}

func drawPlot(name string, group []experiment.Series) error {
	p := plot.New()
	p.Title.Text = group[0].Case
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = group[0].Metric
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, one := range group {
		points := make(plotter.XYs, len(one.Values))
		for second, value := range one.Values {
			points[second].X, points[second].Y = float64(second+1), value
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrapf(err, "tool: plot of %s", one.Case)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(one.Decision, line)
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, name), "tool: write a plot")
}

var notInNames = regexp.MustCompile(`[^a-z0-9]+`)

func fileName(text string) string {
	return strings.Trim(notInNames.ReplaceAllString(strings.ToLower(text), "-"), "-")
}
