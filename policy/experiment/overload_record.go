package experiment

import (
	"slices"
	"time"
)

// overloadRecord is what a run came to.
type overloadRecord struct {
	// before, during and after are figures of the requests that came before the
	// disturbance, in it, and from some time after it on.
	before, during, after overloadFigures
	// accounts counts requests and those on time in the disturbance.
	accounts [overloadAccounts]struct{ offered, onTime float64 }

	// second holds the first-event times of the running second.
	second  []time.Duration
	onTime  float64
	samples []overloadSample
}

type overloadFigures struct{ offered, onTime, worth float64 }

// overloadSample is one second of a run.
type overloadSample struct {
	onTime, waiting, firstEvent, fairness float64
}

// overloadRecovery is the time after the disturbance from which on requests
// must be served as before.
const overloadRecovery = 5 * time.Second

// figures returns those that a request counts in, nil if none.
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

func (o *overloadRecord) offered(request *overloadRequest) {
	o.figures(request.arrived).offered++
	if request.arrived >= overloadFrom && request.arrived < overloadTo {
		o.accounts[request.account].offered++
	}
}

func (o *overloadRecord) spent(request *overloadRequest, cost float64) {
	o.figures(request.arrived).worth -= cost
}

func (o *overloadRecord) answered(request *overloadRequest, took time.Duration, good bool) {
	o.second = append(o.second, took)
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

// sample closes a second.
func (o *overloadRecord) sample(r *overloadRun) {
	waiting := 0
	for _, engine := range r.engines {
		waiting += len(engine.waiting)
	}
	slices.Sort(o.second)
	median := time.Duration(0)
	if len(o.second) > 0 {
		median = o.second[len(o.second)/2]
	}
	o.samples = append(o.samples, overloadSample{
		onTime: o.onTime, waiting: float64(waiting), firstEvent: float64(median.Milliseconds()), fairness: o.fairness(),
	})
	o.second, o.onTime = o.second[:0], 0
}

// fairness is Jain's index of the accounts' shares of requests on time in the
// disturbance: 1 if all have the same share, 1/n if one of n has all.
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

func (f overloadFigures) share() float64 { return f.onTime / max(1, f.offered) }
func (f overloadFigures) mean() float64  { return f.worth / max(1, f.offered) }

// overloadRows makes the rows of one pattern.
func overloadRows(pattern overloadPattern, seeds int) ([]Row, []Series) {
	var rows []Row
	var series []Series
	best := make([]float64, seeds)
	for _, policy := range overloadPolicies() {
		figures := make(map[string][]float64)
		add := func(metric string, value float64) { figures[metric] = append(figures[metric], value) }
		for seed := range seeds {
			record := newOverloadRun(pattern, policy, seed+1).play()
			add("on time in it, share", record.during.share())
			add("on time after it, share of that before it", record.after.share()/record.before.share())
			add("worth less cost in it, per request", record.during.mean())
			add("Jain's index of the accounts in it", record.fairness())
			if policy.censored {
				add("worth above the best of the others", record.during.mean()-best[seed])
			}
			best[seed] = max(best[seed], record.during.mean())
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
		if policy.censored {
			recovered = Target{Bound: MeanAtLeast, Value: 0.95}
			rows = append(rows, newRow(name, "worth above the best of the others", Target{Bound: MeanAtLeast, Value: 0}, figures["worth above the best of the others"]))
		}
		rows = append(rows, newRow(name, "on time after it, share of that before it", recovered, figures["on time after it, share of that before it"]))
	}
	return rows, series
}

func (o *overloadRecord) series(pattern, policy string) []Series {
	metrics := []struct {
		name string
		of   func(overloadSample) float64
	}{
		{"goodput, requests on time per second", func(s overloadSample) float64 { return s.onTime }},
		{"requests waiting at the engines", func(s overloadSample) float64 { return s.waiting }},
		{"median time to the first event, ms", func(s overloadSample) float64 { return s.firstEvent }},
		{"Jain's index of the accounts in the disturbance", func(s overloadSample) float64 { return s.fairness }},
	}
	var all []Series
	for _, metric := range metrics {
		one := Series{Case: pattern, Metric: metric.name, Decision: policy}
		for _, sample := range o.samples {
			one.Values = append(one.Values, metric.of(sample))
		}
		all = append(all, one)
	}
	return all
}

func runOverload(seeds int) ([]Row, []Series, error) {
	var rows []Row
	var series []Series
	for _, pattern := range overloadPatterns() {
		more, drawn := overloadRows(pattern, seeds)
		rows, series = append(rows, more...), append(series, drawn...)
	}
	return rows, series, nil
}
