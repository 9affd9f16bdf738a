package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/coord/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "20261207") }

// fleetOfBudgets is a fleet whose instances start, stop and are killed, and
// learn of each other late. It counts what the fleet does.
type fleetOfBudgets struct {
	bounds  Bounds
	now     time.Time
	budgets []*budgets
	// spent and asked are the times of all retries and requests.
	spent, asked []time.Time
}

const (
	// mostInstances is the largest fleet, and hearsay the longest time until the
	// instances know of a new one.
	mostInstances = 40
	hearsay       = 3 * time.Second
)

func (f *fleetOfBudgets) start() {
	f.budgets = append(f.budgets, newBudgets(f.bounds, f.now))
}

// tell lets all instances know how many there are.
func (f *fleetOfBudgets) tell() {
	for _, one := range f.budgets {
		one.divide(f.now, len(f.budgets))
	}
}

func (f *fleetOfBudgets) request(at int) {
	f.budgets[at].Budget("s").Request(f.now)
	f.asked = append(f.asked, f.now)
}

// retry makes as many retries as the instance may, up to a number.
func (f *fleetOfBudgets) retry(at, most int) {
	for range most {
		if !f.budgets[at].Budget("s").WithdrawUrgent(f.now) {
			return
		}
		f.spent = append(f.spent, f.now)
	}
}

// check holds the window that ends now to the fleet's bound. As the users
// count it, the requests are those of that window, of the one before or of the
// one half a window before.
func (f *fleetOfBudgets) check(t *rapid.T) {
	length := millis(f.bounds.RetryWindowMillis)
	requests := 0
	for _, back := range []time.Duration{0, length / 2, length} {
		requests = max(requests, within(f.asked, f.now.Add(-back), length))
	}
	retries := within(f.spent, f.now, length)
	if bound := f.bounds.RetryRatio*float64(requests) + f.bounds.RetrySlack; float64(retries) > bound {
		t.Fatalf("%d retries and %d requests of %d instances in a window, bound %.1f", retries, requests, len(f.budgets), bound)
	}
}

// within counts the moments of a span that ends at one.
func within(moments []time.Time, end time.Time, length time.Duration) int {
	count := 0
	for _, at := range moments {
		if at.After(end.Add(-length)) && !at.After(end) {
			count++
		}
	}
	return count
}

// TestRetryBudgetHoldsWhileTheFleetChanges: however instances come, go and
// begin anew, and as long as news of new ones take no longer than they may, the
// retries of any window stay within the fleet's bound.
func TestRetryBudgetHoldsWhileTheFleetChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleetOfBudgets{
			bounds: Bounds{RetryRatio: 0.9, RetrySlack: rapid.SampledFrom([]float64{58, 400}).Draw(t, "slack"), RetryWindowMillis: 10_000},
			now:    time.Unix(1000, 0),
		}
		for range rapid.SampledFrom([]int{1, 9, 12, 30}).Draw(t, "instances") {
			f.start()
		}
		f.tell()
		told := f.now
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				step := time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond
				f.now = f.now.Add(step)
				if f.now.Sub(told) > hearsay || rapid.Bool().Draw(t, "told") {
					f.tell()
					told = f.now
				}
			},
			"start": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "more") {
					if len(f.budgets) < mostInstances {
						f.start()
					}
				}
			},
			"restart": func(t *rapid.T) {
				at := rapid.SampledFrom([]int{0, 0, len(f.budgets) / 2}).Draw(t, "first")
				for i := at; i < len(f.budgets); i++ {
					f.budgets[i] = newBudgets(f.bounds, f.now)
				}
				f.tell()
			},
			"stop": func(t *rapid.T) {
				f.budgets = f.budgets[rapid.IntRange(0, len(f.budgets)-1).Draw(t, "count"):]
				f.tell()
			},
			"requests": func(t *rapid.T) {
				at := rapid.IntRange(0, len(f.budgets)-1).Draw(t, "instance")
				for range rapid.IntRange(1, 30).Draw(t, "count") {
					f.request(at)
				}
			},
			"retries": func(t *rapid.T) {
				const all = 1000
				most := rapid.SampledFrom([]int{all, all, 3}).Draw(t, "most")
				for at := range f.budgets {
					f.retry(at, most)
				}
			},
			"settle": func(*rapid.T) {
				for range 2 {
					f.now = f.now.Add(millis(f.bounds.RetryWindowMillis) + time.Second)
					f.tell()
				}
				told = f.now
			},
			"": func(t *rapid.T) { f.check(t) },
		})
	})
}

// What instances spent that are gone counts as long as the window has it.
func TestPartOfTheSlackRisesAfterAWindow(t *testing.T) {
	const gone, left = 20, 10
	bounds := Bounds{RetryRatio: 0.9, RetrySlack: 400, RetryWindowMillis: 10_000}
	f := &fleetOfBudgets{bounds: bounds, now: time.Unix(1000, 0)}
	for range gone + left {
		f.start()
	}
	spend := func() int {
		f.tell()
		before := len(f.spent)
		for at := range f.budgets {
			f.retry(at, 1000)
		}
		return len(f.spent) - before
	}
	f.tell()
	f.now = f.now.Add(11 * time.Second)
	first := spend()
	f.budgets = f.budgets[gone:]
	second := spend()
	assert.Assert(t, first > 0 && first+second <= 400, "%d and %d", first, second)
	f.now = f.now.Add(11 * time.Second)
	assert.Assert(t, spend() > first*left/(gone+left), "those that are left divide all of it")
}
