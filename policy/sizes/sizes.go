// Package sizes decides which size of model answers a request: the smallest
// first, and a larger one if the answer's confidence is low, as far as time and
// the retry budget allow.
//
// It answers the load pattern in which most requests are easy, some need the
// largest model, and long prompts take the largest model so long that asking
// it second would be late.
package sizes

import "time"

const (
	// onTime is the part of the latency objective that a plan may use.
	onTime = 0.9
	// hopeless is the confidence below which even a late answer of a larger
	// model is worth more to the caller than the one at hand.
	hopeless = 0.3
	// pressed is the relief from which on larger models are not asked first.
	pressed = 0.3
)

// Model is one size as it looks for the request at hand.
type Model struct {
	// FirstEvent is the expected time to the first event, 0 if unknown.
	FirstEvent time.Duration
}

// Request is what the decision needs to know of a request.
type Request struct {
	// Models lists the sizes, smallest first.
	Models []Model
	// Target is the latency objective, up to the first event.
	Target time.Duration
	// Elapsed is the time that has passed since the request came.
	Elapsed time.Duration
	// Retries is how many further endpoints may be asked.
	Retries float64
	// Relief is the part of the asked confidence that is remitted under
	// pressure, in [0, 1].
	Relief float64
}

// fits reports whether the objective can be met by a model that is asked
// after some time.
func (r Request) fits(model int, after time.Duration) bool {
	return after+r.Models[model].FirstEvent <= time.Duration(onTime*float64(r.Target))
}

// First returns the model to ask first: the smallest, if a larger one can
// follow in time, else the largest that answers in time. Under pressure the
// smallest is asked whatever can follow: an overload leaves neither time nor
// retries for a second model, and to ask the largest at once would feed it.
func First(r Request) int {
	last := len(r.Models) - 1
	if last == 0 || r.Relief >= pressed {
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

// Next returns the model to ask after an answer of low confidence, and whether
// to ask it at all. accept is the least confidence that is good enough.
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
	return last, confidence < hopeless
}
