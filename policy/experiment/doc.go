// Package experiment measures the decisions of this module against plain
// baselines and oracles: in virtual time, against small models, through the
// interfaces that an instance uses, with fixed seeds.
//
// Each experiment is a function in a file of its own, listed in registry.go.
// An experiment runs once per seed, and a [Row] shows the mean and the spread
// over the seeds. Equal calls give equal reports.
package experiment
