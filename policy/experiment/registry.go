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
	run  func(seeds int) ([]Row, error)
	// draws is set in place of run by experiments that also give series.
	draws func(seeds int) ([]Row, []Series)
}

func (e experiment) measure(seeds int) ([]Row, []Series, error) {
	if e.draws != nil {
		rows, series := e.draws(seeds)
		return rows, series, nil
	}
	rows, err := e.run(seeds)
	return rows, nil, err
}

// experiments lists all experiments.
func experiments() []experiment {
	return []experiment{
		{name: "cascade", run: runCascade},
		{name: "rollout", run: runRollout},
		{name: "placement", run: runPlacement},
		{name: "admission", run: runAdmission},
		{name: "quota", run: runQuota},
		{name: "sizes", run: runSizes},
		{name: "overload", draws: runOverload},
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
	rows, series, err := all[at].measure(seeds)
	if err != nil {
		return Report{}, eris.Wrapf(err, "experiment %s", name)
	}
	return Report{Experiment: name, Seeds: seeds, Rows: rows, Series: series}, nil
}
