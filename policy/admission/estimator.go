package admission

import (
	"math"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

const (
	// defaultWork is the expected slot time before any request has finished.
	defaultWork = time.Second
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.05
	// marginDeviations is the number of mean absolute deviations added to the expected
	// work when a deadline is checked.
	marginDeviations = 2
	// maxRatio bounds one sample of the ratio of actual to expected work.
	maxRatio = 20
	// maxClasses bounds the number of task classes with separate estimates.
	maxClasses = 256
)

// workEstimator learns, by task class, the ratio of the actual slot time of requests
// to the one expected by the caller.
type workEstimator struct {
	classes map[document.TaskClass]*classEstimate
	// meanWork is the moving average of the slot time of all requests.
	meanWork time.Duration
}

type classEstimate struct {
	// ratio is the moving average of actual work divided by expected work.
	ratio float64
	// deviation is the moving average of the absolute deviation of the ratio.
	deviation float64
	// mean is the moving average of the slot time.
	mean time.Duration
}

func newWorkEstimator() workEstimator {
	return workEstimator{classes: make(map[document.TaskClass]*classEstimate)}
}

// mean returns the mean slot time of a request.
func (e *workEstimator) mean() time.Duration {
	if e.meanWork == 0 {
		return defaultWork
	}
	return e.meanWork
}

// estimate returns the expected slot time of a request, and the same with a margin for
// the estimate's usual error.
func (e *workEstimator) estimate(request Request) (expected, withMargin time.Duration) {
	class, ok := e.classes[request.Class]
	if !ok {
		class = &classEstimate{ratio: 1, mean: e.mean()}
	}
	work := request.Work
	if work <= 0 {
		work = class.mean
	}
	expected = scale(work, class.ratio)
	return expected, scale(work, class.ratio+marginDeviations*class.deviation)
}

// observe updates the averages with the slot time that a request took.
func (e *workEstimator) observe(request Request, took time.Duration) {
	if took <= 0 {
		return
	}
	e.meanWork = movingAverage(e.mean(), took)
	class := e.class(request.Class, took)
	if class == nil {
		return
	}
	class.mean = movingAverage(class.mean, took)
	if request.Work <= 0 {
		return
	}
	ratio := min(maxRatio, float64(took)/float64(request.Work))
	class.deviation += sampleWeight * (math.Abs(ratio-class.ratio) - class.deviation)
	class.ratio += sampleWeight * (ratio - class.ratio)
}

func (e *workEstimator) class(name document.TaskClass, took time.Duration) *classEstimate {
	class, ok := e.classes[name]
	if ok {
		return class
	}
	if len(e.classes) >= maxClasses {
		return nil
	}
	class = &classEstimate{ratio: 1, mean: took}
	e.classes[name] = class
	return class
}

func movingAverage(previous, sample time.Duration) time.Duration {
	return previous + time.Duration(sampleWeight*float64(sample-previous))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
