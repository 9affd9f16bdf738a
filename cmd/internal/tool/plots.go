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

// writePlotFiles writes one SVG file for each case and metric, with a line for each
// decision, and returns the names of the files.
func writePlotFiles(directory string, series []experiment.Series) ([]string, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, eris.Wrap(err, "create plot directory")
	}
	var names []string
	for _, group := range groupByPlot(series) {
		name := filepath.Join(directory, plotFileName(group[0].Case+" "+group[0].Metric)+".svg")
		if err := writePlotFile(name, group); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

// groupByPlot groups the series by case and metric, in order of first occurrence.
func groupByPlot(series []experiment.Series) [][]experiment.Series {
	var groups [][]experiment.Series
	groupOf := make(map[string]int)
	for _, s := range series {
		key := s.Case + "\x00" + s.Metric
		index, ok := groupOf[key]
		if !ok {
			index = len(groups)
			groupOf[key] = index
			groups = append(groups, nil)
		}
		groups[index] = append(groups[index], s)
	}
	return groups
}

func writePlotFile(name string, group []experiment.Series) error {
	p := plot.New()
	p.Title.Text = group[0].Case
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = group[0].Metric
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range group {
		points := make(plotter.XYs, len(s.Values))
		for second, value := range s.Values {
			points[second].X, points[second].Y = float64(second+1), value
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrapf(err, "plot %s", s.Case)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(s.Decision, line)
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, name), "write plot")
}

var nonNameChars = regexp.MustCompile(`[^a-z0-9]+`)

func plotFileName(text string) string {
	return strings.Trim(nonNameChars.ReplaceAllString(strings.ToLower(text), "-"), "-")
}
