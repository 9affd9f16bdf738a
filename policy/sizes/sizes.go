// Package sizes selects the size of the model that answers a request: usually the
// smallest first, and a larger one if the answer's confidence is low, as far as the
// latency objective and the retry budget allow. After an answer of very low confidence a
// larger model is asked even if it would miss the objective.
//
// It is designed for a load in which most requests are easy, some need the largest
// model, and long prompts take the largest model so long that asking it second would
// miss the objective.
package sizes

import "time"

const (
	// targetShare is the share of the latency objective that a plan may use.
	targetShare = 0.9
	// alwaysEscalateBelow is the confidence below which even a late answer of a larger
	// model is worth more to the caller than the answer already given.
	alwaysEscalateBelow = 0.3
	// highRelief is the relief from which on larger models are not asked first.
	highRelief = 0.3
)

// Model describes one model size for the current request.
type Model struct {
	// FirstEvent is the expected time to the first event; 0 if unknown.
	FirstEvent time.Duration
}

// Request describes a request and the state that the selection depends on.
type Request struct {
	// Models lists the sizes, smallest first.
	Models []Model
	// Target is the latency objective for the first event.
	Target time.Duration
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Retries is the number of further endpoints that may be asked.
	Retries float64
	// Relief is the fraction by which [Pressure] reduces the required confidence, in
	// [0, 1].
	Relief float64
}

// fits reports whether a model that is asked after the given time would meet the
// objective.
func (r Request) fits(model int, after time.Duration) bool {
	return after+r.Models[model].FirstEvent <= time.Duration(targetShare*float64(r.Target))
}

// First returns the index of the model to ask first: the smallest if the largest can
// still follow in time and a retry is left, otherwise the largest that meets the
// objective, or the smallest if none does. If the relief is at least highRelief, it
// returns the smallest in any case, because an overload leaves neither time nor retries
// for a second model, and asking a large one first would increase the overload.
func First(r Request) int {
	last := len(r.Models) - 1
	if last == 0 || r.Relief >= highRelief {
		return 0
	}
	if r.Retries >= 1 && r.fits(last, r.Elapsed+r.Models[0].FirstEvent) {
		return 0
	}
	for model := last; model > 0; model-- {
		if r.fits(model, r.Elapsed) {
			return model
		}
	}
	return 0
}

// Next returns the index of the model to ask after an answer of the given confidence by
// the model with the index asked, and whether to ask another model at all. An answer is
// sufficient if its confidence is at least the argument accept. Next selects the largest
// model that meets the objective; if none does, it selects the largest of all, but only
// after an answer of a confidence below alwaysEscalateBelow.
func Next(r Request, asked int, confidence, accept float64) (int, bool) {
	last := len(r.Models) - 1
	if asked >= last || confidence >= accept || r.Retries < 1 {
		return 0, false
	}
	for model := last; model > asked; model-- {
		if r.fits(model, r.Elapsed) {
			return model, true
		}
	}
	return last, confidence < alwaysEscalateBelow
}
