package cascade

import "math"

// Bins is the number of confidence bins.
const Bins = 10

const (
	// memoryAnswers is the number of new answers over which a version's counts
	// of answers decay by a factor of e, and the number of new ratings over
	// which its counts of ratings do.
	memoryAnswers = 1500
	// idleMemoryAnswers is how many ratings other versions must get for the ratings
	// of a version that gets none meanwhile to decay by a factor of e.
	idleMemoryAnswers = 6000
	// minRatings is the number of ratings below which a version other than the last
	// candidate starts a plan only to gather ratings, or if the last candidate is too
	// slow.
	minRatings = 20
	// maxLearningRatings is the number of ratings up to which a version is tried
	// to gather ratings, while it may still reach the target.
	maxLearningRatings = 60
	// neighbourWeight is the maximum weight, in ratings, of the adjacent bins in
	// the estimate of a bin.
	neighbourWeight = 2
	// overallWeight is the weight, in ratings, of the version's overall quality in
	// the estimate of a bin.
	overallWeight = 0.5
	// escalatedWeight is the weight, in ratings, of the quality that a version has
	// as a first step, when its quality after an escalation is estimated.
	escalatedWeight = 2
)

// bin holds the decayed counts of answers and ratings in one range of confidence.
type bin struct {
	answers float64
	good    float64
	bad     float64
}

// versionStats holds the counts of one version in one class.
type versionStats struct {
	bins     [Bins]bin
	prior    float64
	detector changeDetector
}

// binOf returns the index of the bin that contains the confidence.
func binOf(confidence float64) int {
	if math.IsNaN(confidence) {
		return 0
	}
	return min(Bins-1, max(0, int(confidence*Bins)))
}

// binFloor returns the lower bound of a bin's confidence.
func binFloor(bin int) float64 { return float64(bin) / Bins }

// countAnswers adds n answers to a bin.
func (s *versionStats) countAnswers(bin int, n float64) {
	keep := math.Exp(-n / memoryAnswers)
	for i := range s.bins {
		s.bins[i].answers *= keep
	}
	s.bins[bin].answers += n
}

// addRatings adds ratings to a bin. If the detector reports a change, the ratings
// from before it are dropped.
func (s *versionStats) addRatings(bin int, good, bad float64) {
	expected := s.binQuality(bin).mean
	if s.detector.addRatings(bin, expected, good, bad) {
		s.resetToChange()
		return
	}
	s.decayRatings(math.Exp(-(good + bad) / memoryAnswers))
	s.bins[bin].good += good
	s.bins[bin].bad += bad
}

// decayRatings multiplies all ratings by keep, in [0, 1].
func (s *versionStats) decayRatings(keep float64) {
	for i := range s.bins {
		s.bins[i].good *= keep
		s.bins[i].bad *= keep
	}
}

// resetToChange replaces all ratings by those since the change began and sets the
// prior to their smoothed share of good ones.
func (s *versionStats) resetToChange() {
	for i := range s.bins {
		s.bins[i].good = s.detector.good[i]
		s.bins[i].bad = s.detector.bad[i]
	}
	s.prior = s.smoothedGoodShare()
	s.detector = changeDetector{}
}

// ratings returns the number of ratings after decay.
func (s *versionStats) ratings() float64 {
	total := 0.0
	for _, b := range s.bins {
		total += b.good + b.bad
	}
	return total
}

// smoothedGoodShare returns the share of good ratings, with the prior weighted as
// one rating.
func (s *versionStats) smoothedGoodShare() float64 {
	good, total := s.prior, 1.0
	for _, b := range s.bins {
		good += b.good
		total += b.good + b.bad
	}
	return good / total
}

// posterior is a Beta posterior, described by its first two moments.
type posterior struct {
	mean     float64
	variance float64
}

// binQuality returns the posterior of the quality of a bin's answers. The ratings
// of the adjacent bins and of the whole version dominate if the bin has few ratings.
func (s *versionStats) binQuality(bin int) posterior {
	good, total := overallWeight*s.smoothedGoodShare(), overallWeight
	nearGood, near := 0.0, 0.0
	for i := max(0, bin-1); i <= min(Bins-1, bin+1); i++ {
		if i == bin {
			continue
		}
		nearGood += s.bins[i].good
		near += s.bins[i].good + s.bins[i].bad
	}
	if near > 0 {
		weight := min(near, neighbourWeight)
		good += weight * nearGood / near
		total += weight
	}
	good += s.bins[bin].good
	total += s.bins[bin].good + s.bins[bin].bad
	return newPosterior(good, total)
}

// escalatedQuality returns the posterior of the quality of answers after an
// escalation from a bin. direct is the version's quality as a first step.
func (s *versionStats) escalatedQuality(bin int, direct float64) posterior {
	b := s.bins[bin]
	return newPosterior(escalatedWeight*direct+b.good, escalatedWeight+b.good+b.bad)
}

func newPosterior(good, total float64) posterior {
	mean := good / total
	// The added counts keep the variance above 0 if all ratings are equal.
	spread := (good + 0.3) / (total + 0.6)
	return posterior{mean: mean, variance: spread * (1 - spread) / (total + 1)}
}

// shares returns each bin's share of the answers.
func (s *versionStats) shares() [Bins]float64 {
	total := 0.0
	for _, b := range s.bins {
		total += b.answers
	}
	var shares [Bins]float64
	for i, b := range s.bins {
		if total == 0 {
			shares[i] = 1.0 / Bins
			continue
		}
		shares[i] = b.answers / total
	}
	return shares
}

// overallQuality returns the posterior of the quality of all answers.
func (s *versionStats) overallQuality() posterior {
	var overall posterior
	for i, share := range s.shares() {
		quality := s.binQuality(i)
		overall.mean += share * quality.mean
		overall.variance += share * share * quality.variance
	}
	return overall
}

// needsRatings reports whether the version should be tried to gather ratings:
// below minRatings always, up to maxLearningRatings only if the target is at most
// two standard deviations above the mean.
func (s *versionStats) needsRatings(target float64) bool {
	ratings := s.ratings()
	if ratings < minRatings {
		return true
	}
	overall := s.overallQuality()
	return ratings < maxLearningRatings && overall.mean+2*math.Sqrt(overall.variance) >= target
}

// sample returns a posterior whose mean is drawn from p, by its normal
// approximation.
func (p posterior) sample(random Random) posterior {
	u := max(random.Float64(), math.SmallestNonzeroFloat64)
	normal := math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*random.Float64())
	mean := p.mean + normal*math.Sqrt(p.variance)
	return posterior{mean: min(1, max(0, mean))}
}
