package experiment

import (
	"slices"
	"time"
)

// overloadRecord holds the results of a run.
type overloadRecord struct {
	// before, during and after are the figures of the requests that arrived before
	// the disturbance, during it, and from overloadRecovery after its end until
	// overloadPatience before the end of the run.
	before, during, after overloadFigures
	// accounts counts the requests during the disturbance by account, and those of
	// them answered on time.
	accounts [overloadAccounts]struct{ offered, onTime float64 }

	// firstEvents holds the times to the first event, and onTime the number of
	// requests on time, of the answers in the current second.
	firstEvents []time.Duration
	onTime      float64
	samples     []overloadSample
}

// overloadFigures counts requests, those on time, and the worth of the answers
// less their cost.
type overloadFigures struct{ offered, onTime, worth float64 }

// overloadSample holds the metrics of one second of a run.
type overloadSample struct {
	onTime, waiting, firstEvent, fairness float64
}

// overloadRecovery is the time after the end of the disturbance from which
// requests must be served as before it.
const overloadRecovery = 5 * time.Second

// figures returns the figures that include a request of the given arrival time,
// or unused ones if no figures include it.
func (o *overloadRecord) figures(arrived time.Duration) *overloadFigures {
	switch {
	case arrived < overloadFrom:
		return &o.before
	case arrived < overloadTo:
		return &o.during
	case arrived >= overloadTo+overloadRecovery && arrived < overloadLength-overloadPatience:
		return &o.after
	default:
		return &overloadFigures{}
	}
}

func (o *overloadRecord) recordOffered(request *overloadRequest) {
	o.figures(request.arrived).offered++
	if request.arrived >= overloadFrom && request.arrived < overloadTo {
		o.accounts[request.account].offered++
	}
}

func (o *overloadRecord) recordCost(request *overloadRequest, cost float64) {
	o.figures(request.arrived).worth -= cost
}

func (o *overloadRecord) recordAnswer(request *overloadRequest, took time.Duration, good bool) {
	o.firstEvents = append(o.firstEvents, took)
	figures := o.figures(request.arrived)
	onTime := took <= sizesTarget
	if onTime {
		o.onTime++
		figures.onTime++
		if request.arrived >= overloadFrom && request.arrived < overloadTo {
			o.accounts[request.account].onTime++
		}
	}
	figures.worth += sizesWorth(good, onTime)
}

// sample appends the metrics of the current second and starts the next one.
func (o *overloadRecord) sample(r *overloadRun) {
	waiting := 0
	for _, engine := range r.engines {
		waiting += len(engine.waiting)
	}
	slices.Sort(o.firstEvents)
	median := time.Duration(0)
	if len(o.firstEvents) > 0 {
		median = o.firstEvents[len(o.firstEvents)/2]
	}
	o.samples = append(o.samples, overloadSample{
		onTime: o.onTime, waiting: float64(waiting), firstEvent: float64(median.Milliseconds()), fairness: o.fairness(),
	})
	o.firstEvents, o.onTime = o.firstEvents[:0], 0
}

// fairness returns Jain's index of the accounts' shares of requests on time during
// the disturbance: 1 if all shares are equal, 1/n if one account of n has all
// requests on time.
func (o *overloadRecord) fairness() float64 {
	sum, squares, count := 0.0, 0.0, 0.0
	for _, account := range o.accounts {
		if account.offered == 0 {
			continue
		}
		share := account.onTime / account.offered
		sum += share
		squares += share * share
		count++
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (count * squares)
}

func (f overloadFigures) onTimeShare() float64 { return f.onTime / max(1, f.offered) }
func (f overloadFigures) meanWorth() float64   { return f.worth / max(1, f.offered) }

// overloadRows returns the rows and series of one pattern.
func overloadRows(pattern overloadPattern, seeds int) ([]Row, []Series) {
	var rows []Row
	var series []Series
	best := make([]float64, seeds)
	for _, policy := range overloadPolicies() {
		figures := make(map[string][]float64)
		add := func(metric string, value float64) { figures[metric] = append(figures[metric], value) }
		for seed := range seeds {
			record := newOverloadRun(pattern, policy, seed+1).simulate()
			add("on time in it, share", record.during.onTimeShare())
			add("on time after it, share of that before it", record.after.onTimeShare()/record.before.onTimeShare())
			add("worth less cost in it, per request", record.during.meanWorth())
			add("Jain's index of the accounts in it", record.fairness())
			if policy.countsCensored {
				add("worth above the best of the others", record.during.meanWorth()-best[seed])
			}
			best[seed] = max(best[seed], record.during.meanWorth())
			if seed == 0 {
				series = append(series, record.series(pattern.name, policy.name)...)
			}
		}
		name := pattern.name + ": " + policy.name
		rows = append(rows,
			newRow(name, "on time in it, share", Target{}, figures["on time in it, share"]),
			newRow(name, "worth less cost in it, per request", Target{}, figures["worth less cost in it, per request"]),
			newRow(name, "Jain's index of the accounts in it", Target{}, figures["Jain's index of the accounts in it"]))
		recovered := Target{}
		if policy.countsCensored {
			recovered = Target{Bound: MeanAtLeast, Value: 0.95}
			rows = append(rows, newRow(name, "worth above the best of the others", Target{Bound: MeanAtLeast, Value: 0}, figures["worth above the best of the others"]))
		}
		rows = append(rows, newRow(name, "on time after it, share of that before it", recovered, figures["on time after it, share of that before it"]))
	}
	return rows, series
}

func (o *overloadRecord) series(pattern, policy string) []Series {
	metrics := []struct {
		name  string
		value func(overloadSample) float64
	}{
		{"goodput, requests on time per second", func(s overloadSample) float64 { return s.onTime }},
		{"requests waiting at the engines", func(s overloadSample) float64 { return s.waiting }},
		{"median time to the first event, ms", func(s overloadSample) float64 { return s.firstEvent }},
		{"Jain's index of the accounts in the disturbance", func(s overloadSample) float64 { return s.fairness }},
	}
	var all []Series
	for _, metric := range metrics {
		single := Series{Case: pattern, Metric: metric.name, Decision: policy}
		for _, sample := range o.samples {
			single.Values = append(single.Values, metric.value(sample))
		}
		all = append(all, single)
	}
	return all
}

func runOverload(seeds int) ([]Row, []Series, error) {
	var rows []Row
	var series []Series
	for _, pattern := range overloadPatterns() {
		patternRows, patternSeries := overloadRows(pattern, seeds)
		rows, series = append(rows, patternRows...), append(series, patternSeries...)
	}
	return rows, series, nil
}
