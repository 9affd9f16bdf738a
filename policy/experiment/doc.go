// Package experiment compares the decisions of the policy packages with simple
// baselines and oracles. It simulates small models in virtual time with fixed
// seeds, and calls the same interfaces as an instance.
//
// Each experiment is a function in a separate file, listed in registry.go. An
// experiment runs once per seed, but repeats the roll-outs of a good candidate with
// further seeds. A [Row] holds the mean, minimum and maximum over the runs. Equal
// calls return equal reports.
package experiment
