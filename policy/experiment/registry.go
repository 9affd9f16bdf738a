package experiment

import (
	"slices"

	"github.com/rotisserie/eris"
)

// ErrUnknown is wrapped by the error that [Run] returns for an unknown name.
var ErrUnknown = eris.New("experiment: unknown experiment")

// experiment is a named experiment. Its run takes the number of seeds.
type experiment struct {
	name string
	run  func(seeds int) ([]Row, []Series, error)
}

// withoutSeries adapts a function that returns only rows.
func withoutSeries(run func(seeds int) ([]Row, error)) func(seeds int) ([]Row, []Series, error) {
	return func(seeds int) ([]Row, []Series, error) {
		rows, err := run(seeds)
		return rows, nil, err
	}
}

func experiments() []experiment {
	return []experiment{
		{name: "cascade", run: withoutSeries(runCascade)},
		{name: "rollout", run: withoutSeries(runRollout)},
		{name: "placement", run: withoutSeries(runPlacement)},
		{name: "admission", run: withoutSeries(runAdmission)},
		{name: "quota", run: withoutSeries(runQuota)},
		{name: "sizes", run: withoutSeries(runSizes)},
		{name: "overload", run: runOverload},
	}
}

// Names returns the names of all experiments.
func Names() []string {
	var names []string
	for _, e := range experiments() {
		names = append(names, e.name)
	}
	return names
}

// Run runs one experiment with the given number of seeds, counted from 1. It returns an
// error if the number is below 1 or the experiment fails, and an error that wraps
// [ErrUnknown] for an unknown name.
func Run(name string, seeds int) (Report, error) {
	if seeds < 1 {
		return Report{}, eris.Errorf("experiment: %d seeds, must be at least 1", seeds)
	}
	all := experiments()
	index := slices.IndexFunc(all, func(e experiment) bool { return e.name == name })
	if index < 0 {
		return Report{}, eris.Wrapf(ErrUnknown, "%q", name)
	}
	rows, series, err := all[index].run(seeds)
	if err != nil {
		return Report{}, eris.Wrapf(err, "experiment %s", name)
	}
	return Report{Experiment: name, Seeds: seeds, Rows: rows, Series: series}, nil
}
