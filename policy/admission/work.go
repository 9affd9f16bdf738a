package admission

import (
	"math"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

const (
	// defaultWork is expected of requests of which nothing is known.
	defaultWork = time.Second
	// workWeight is the weight of a new sample in the smoothed figures.
	workWeight = 0.05
	// cautionDeviations is the number of mean deviations added to the
	// expected work when a deadline is judged.
	cautionDeviations = 2
	// maxRatio bounds one sample of the ratio of actual to expected work.
	maxRatio = 20
	// maxClasses bounds the task classes that are told apart.
	maxClasses = 256
)

// workTable learns how the slot time of requests compares to what the caller
// expected, by task class.
type workTable struct {
	classes map[document.TaskClass]*workClass
	// smoothed is the mean slot time of all requests.
	smoothed time.Duration
}

type workClass struct {
	// ratio is the smoothed quotient of actual and expected work.
	ratio float64
	// deviation is its smoothed absolute deviation.
	deviation float64
	// mean is the smoothed slot time.
	mean time.Duration
}

func newWorkTable() workTable {
	return workTable{classes: make(map[document.TaskClass]*workClass)}
}

// mean returns the mean slot time of a request.
func (t *workTable) mean() time.Duration {
	if t.smoothed == 0 {
		return defaultWork
	}
	return t.smoothed
}

// expect returns the slot time expected of a request, and the same with room
// for its usual error.
func (t *workTable) expect(request Request) (expected, cautious time.Duration) {
	class, ok := t.classes[request.Class]
	if !ok {
		class = &workClass{ratio: 1, mean: t.mean()}
	}
	work := request.Work
	if work <= 0 {
		work = class.mean
	}
	expected = scale(work, class.ratio)
	return expected, scale(work, class.ratio+cautionDeviations*class.deviation)
}

// learn folds in the slot time that a request took.
func (t *workTable) learn(request Request, took time.Duration) {
	if took <= 0 {
		return
	}
	t.smoothed = smooth(t.mean(), took)
	class := t.class(request.Class, took)
	if class == nil {
		return
	}
	class.mean = smooth(class.mean, took)
	if request.Work <= 0 {
		return
	}
	ratio := min(maxRatio, float64(took)/float64(request.Work))
	class.deviation += workWeight * (math.Abs(ratio-class.ratio) - class.deviation)
	class.ratio += workWeight * (ratio - class.ratio)
}

func (t *workTable) class(name document.TaskClass, took time.Duration) *workClass {
	class, ok := t.classes[name]
	if ok {
		return class
	}
	if len(t.classes) >= maxClasses {
		return nil
	}
	class = &workClass{ratio: 1, mean: took}
	t.classes[name] = class
	return class
}

func smooth(previous, sample time.Duration) time.Duration {
	return previous + time.Duration(workWeight*float64(sample-previous))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
