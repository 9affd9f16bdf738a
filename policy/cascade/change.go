package cascade

import "math"

const (
	// changeLevel is the log likelihood ratio at which a change is declared.
	changeLevel = 9
	// changeDrop is the factor on the chance of a good answer that the
	// cumulative sum looks for.
	changeDrop = 0.75
	// rateBound keeps predicted chances away from 0 and 1.
	rateBound = 0.02
)

// change looks for a drop of quality: a one-sided cumulative sum over ratings,
// with the ratings since it last was at zero. The zero value is ready to use.
type change struct {
	sum  float64
	good [Bins]float64
	bad  [Bins]float64
}

// observe takes ratings of one bin in, of which the share expected was
// predicted to be good. It reports whether a change is declared.
func (c *change) observe(at int, expected, good, bad float64) bool {
	before := min(1-rateBound, max(rateBound, expected))
	after := before * changeDrop
	c.sum += good*math.Log(after/before) + bad*math.Log((1-after)/(1-before))
	if c.sum <= 0 {
		*c = change{}
		return false
	}
	c.good[at] += good
	c.bad[at] += bad
	return c.sum >= changeLevel
}
