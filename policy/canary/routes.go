package canary

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/wigeonusher/wigeonusher/policy/rollout"
)

const (
	// maxRoutes bounds the routes that are compared one by one, maxReportedRoutes those that
	// are told to peers.
	maxRoutes         = 64
	maxReportedRoutes = 16
)

// routeTests holds a test of failures and late first events for each route.
type routeTests struct {
	tests map[string]*evidenceTest
	// bad reports that the new version was judged bad.
	bad bool
}

// test returns the test of a route, nil if there are too many.
func (t *routeTests) test(route string) *evidenceTest {
	found := t.tests[route]
	if found == nil && len(t.tests) < maxRoutes {
		found = &evidenceTest{test: rollout.NewSequentialTest()}
		t.tests[route] = found
	}
	return found
}

func (t *routeTests) observe(route string, candidate, bad bool) {
	if test := t.test(route); test != nil {
		test.observe(candidate, bad)
		t.judge(test)
	}
}

// judge updates the verdict after a test has got evidence.
func (t *routeTests) judge(test *evidenceTest) {
	t.bad = t.bad || test.bad && t.logE() > badLogE
}

// merge adds what the counts of a peer have gained and returns the merged counts.
func (t *routeTests) merge(known, counts map[string]rollout.Evidence) map[string]rollout.Evidence {
	merged := maps.Clone(known)
	if merged == nil {
		merged = make(map[string]rollout.Evidence)
	}
	for route, count := range counts {
		test := t.test(route)
		if test == nil {
			continue
		}
		added := increase(known[route], count)
		test.accumulate(added)
		t.judge(test)
		merged[route] = add(known[route], added)
	}
	return merged
}

// local returns the answers observed by this instance, of the routes with most answers of the
// new version.
func (t *routeTests) local() map[string]rollout.Evidence {
	var routes []string
	for route, test := range t.tests {
		if test.local.Candidate() > 0 || test.local.Incumbent() > 0 {
			routes = append(routes, route)
		}
	}
	slices.SortFunc(routes, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.tests[b].total.Candidate(), t.tests[a].total.Candidate()), cmp.Compare(a, b))
	})
	counts := make(map[string]rollout.Evidence, len(routes))
	for _, route := range routes[:min(len(routes), maxReportedRoutes)] {
		counts[route] = t.tests[route].local
	}
	return counts
}

// logE returns the log e-value against the new version: the mean over the routes on which it has
// answered.
func (t *routeTests) logE() float64 {
	sum, routes := 0.0, 0
	for _, test := range t.tests {
		if test.total.Candidate() > 0 {
			sum += math.Exp(min(test.test.LogEValue(), maxLogE))
			routes++
		}
	}
	if routes == 0 {
		return 0
	}
	return math.Log(sum / float64(routes))
}

// RouteLogE returns the log e-value against the new version of the tests by route.
func (r *Rollout) RouteLogE() float64 { return r.routes.logE() }
