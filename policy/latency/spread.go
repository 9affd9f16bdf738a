package latency

import (
	"math"
	"time"
)

// upperDeviations is the number of standard deviations between the mean and [Spread.Upper]. At most one
// in ten durations is above it, whatever their distribution (Cantelli's inequality).
const upperDeviations = 3

// Spread estimates how long something usually takes, with exponential decay of earlier durations. The
// zero value holds none. It is not safe for concurrent use.
type Spread struct{ weight, sum, sumSquares float64 }

// Add adds a duration.
func (s *Spread) Add(took time.Duration) {
	y := took.Seconds()
	s.weight = s.weight*decay + 1
	s.sum = s.sum*decay + y
	s.sumSquares = s.sumSquares*decay + y*y
}

// Upper returns a duration that nearly all are below; 0 if there are too few.
func (s *Spread) Upper() time.Duration {
	if s.weight < minWeight {
		return 0
	}
	mean := s.sum / s.weight
	deviation := math.Sqrt(max(0, s.sumSquares/s.weight-mean*mean))
	return time.Duration((mean + upperDeviations*deviation) * float64(time.Second))
}
