package cascade

import "math"

// Bins is the number of bins of confidence.
const Bins = 10

const (
	// memoryAnswers is the number of answers over which a bin forgets.
	memoryAnswers = 1500
	// fadeAnswers is the number of other versions' rated answers over which a
	// version that gets no ratings is forgotten.
	fadeAnswers = 6000
	// trustRatings is the number of ratings below which a version is planned
	// with only to learn, or if the last candidate is too slow.
	trustRatings = 20
	// learnRatings is the number of ratings up to which a version is tried for
	// their sake, as long as it may reach the target.
	learnRatings = 60
	// neighbourWeight is the weight, in ratings, of the estimate that a bin
	// takes from the bins around it.
	neighbourWeight = 2
	// overallWeight is the weight, in ratings, of the version's overall
	// quality in that estimate.
	overallWeight = 0.5
	// escalatedWeight is the weight, in ratings, of a version's quality on all
	// requests in the estimate of its quality after an escalation.
	escalatedWeight = 2
)

// bin counts the answers of one range of confidence, with forgetting.
type bin struct {
	seen float64
	good float64
	bad  float64
}

// track is what is known of one version in one class.
type track struct {
	bins   [Bins]bin
	prior  float64
	change change
}

// binOf returns the bin of a confidence.
func binOf(confidence float64) int {
	if math.IsNaN(confidence) {
		return 0
	}
	return min(Bins-1, max(0, int(confidence*Bins)))
}

// floorOf returns the least confidence of a bin.
func floorOf(bin int) float64 { return float64(bin) / Bins }

// see counts n answers of a bin.
func (t *track) see(at int, n float64) {
	keep := math.Exp(-n / memoryAnswers)
	for i := range t.bins {
		t.bins[i].seen *= keep
	}
	t.bins[at].seen += n
}

// rate counts rated answers of a bin and looks for a change.
func (t *track) rate(at int, good, bad float64) {
	expected := t.quality(at).mean
	if t.change.observe(at, expected, good, bad) {
		t.restart()
		return
	}
	t.fade(math.Exp(-(good + bad) / memoryAnswers))
	t.bins[at].good += good
	t.bins[at].bad += bad
}

// fade forgets ratings, keeping the share given.
func (t *track) fade(keep float64) {
	for i := range t.bins {
		t.bins[i].good *= keep
		t.bins[i].bad *= keep
	}
}

// restart replaces all ratings by those since the change began.
func (t *track) restart() {
	for i := range t.bins {
		t.bins[i].good = t.change.good[i]
		t.bins[i].bad = t.change.bad[i]
	}
	t.prior = t.overall()
	t.change = change{}
}

// ratings returns the number of ratings remembered.
func (t *track) ratings() float64 {
	total := 0.0
	for _, b := range t.bins {
		total += b.good + b.bad
	}
	return total
}

// overall returns the share of good ratings, drawn to the prior.
func (t *track) overall() float64 {
	good, total := t.prior, 1.0
	for _, b := range t.bins {
		good += b.good
		total += b.good + b.bad
	}
	return good / total
}

// belief is a Beta posterior by its moments.
type belief struct {
	mean     float64
	variance float64
}

// quality returns the belief on the quality of a bin's answers. Where the bin
// itself has few ratings, its neighbours' and the version's count for it.
func (t *track) quality(at int) belief {
	good, total := overallWeight*t.overall(), overallWeight
	nearGood, near := 0.0, 0.0
	for i := max(0, at-1); i <= min(Bins-1, at+1); i++ {
		if i == at {
			continue
		}
		nearGood += t.bins[i].good
		near += t.bins[i].good + t.bins[i].bad
	}
	if near > 0 {
		weight := min(near, neighbourWeight)
		good += weight * nearGood / near
		total += weight
	}
	good += t.bins[at].good
	total += t.bins[at].good + t.bins[at].bad
	return newBelief(good, total)
}

// after returns the belief on the quality of answers after an escalation from
// a bin, where easy is the version's quality on all requests.
func (t *track) after(at int, easy float64) belief {
	b := t.bins[at]
	return newBelief(escalatedWeight*easy+b.good, escalatedWeight+b.good+b.bad)
}

func newBelief(good, total float64) belief {
	mean := good / total
	// The floor keeps a run of equal ratings from looking certain.
	spread := (good + 0.3) / (total + 0.6)
	return belief{mean: mean, variance: spread * (1 - spread) / (total + 1)}
}

// shares returns the share of answers in each bin.
func (t *track) shares() [Bins]float64 {
	total := 0.0
	for _, b := range t.bins {
		total += b.seen
	}
	var shares [Bins]float64
	for i, b := range t.bins {
		if total == 0 {
			shares[i] = 1.0 / Bins
			continue
		}
		shares[i] = b.seen / total
	}
	return shares
}

// whole returns the belief on the quality of all answers.
func (t *track) whole() belief {
	var whole belief
	for i, share := range t.shares() {
		quality := t.quality(i)
		whole.mean += share * quality.mean
		whole.variance += share * share * quality.variance
	}
	return whole
}

// promising reports whether the version should be tried for its ratings: it
// has few, and they leave the target within two standard deviations.
func (t *track) promising(target float64) bool {
	ratings := t.ratings()
	if ratings < trustRatings {
		return true
	}
	whole := t.whole()
	return ratings < learnRatings && whole.mean+2*math.Sqrt(whole.variance) >= target
}

// drawn returns a mean drawn from the belief, in the normal approximation.
func (b belief) drawn(random Random) belief {
	u := max(random.Float64(), math.SmallestNonzeroFloat64)
	normal := math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*random.Float64())
	mean := b.mean + normal*math.Sqrt(b.variance)
	return belief{mean: min(1, max(0, mean))}
}
