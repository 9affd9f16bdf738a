package experiment

import (
	"slices"

	"github.com/rotisserie/eris"
)

// ErrUnknown reports the name of no experiment.
var ErrUnknown = eris.New("experiment: unknown experiment")

// experiment measures with the given number of seeds.
type experiment struct {
	name string
	run  func(seeds int) ([]Row, []Series, error)
}

// withoutSeries makes a run of one that gives rows only.
func withoutSeries(run func(seeds int) ([]Row, error)) func(seeds int) ([]Row, []Series, error) {
	return func(seeds int) ([]Row, []Series, error) {
		rows, err := run(seeds)
		return rows, nil, err
	}
}

// experiments lists all experiments.
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

// Run runs one experiment with seeds 1 to seeds. The error is [ErrUnknown], or
// that of the experiment.
func Run(name string, seeds int) (Report, error) {
	if seeds < 1 {
		return Report{}, eris.Errorf("experiment: %d seeds, must be at least 1", seeds)
	}
	all := experiments()
	at := slices.IndexFunc(all, func(e experiment) bool { return e.name == name })
	if at < 0 {
		return Report{}, eris.Wrapf(ErrUnknown, "%q", name)
	}
	rows, series, err := all[at].run(seeds)
	if err != nil {
		return Report{}, eris.Wrapf(err, "experiment %s", name)
	}
	return Report{Experiment: name, Seeds: seeds, Rows: rows, Series: series}, nil
}
