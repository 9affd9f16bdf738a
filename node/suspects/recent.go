package suspects

import (
	"slices"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/suspect"
)

// recentReports holds the crash reports that are sent to peers in digests.
type recentReports struct {
	mu      sync.Mutex
	reports []recentReport
}

type recentReport struct {
	report  suspect.Report
	expires time.Time
}

// add adds a report, unless [maxGossipedReports] are held already.
func (r *recentReports) add(now time.Time, report suspect.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.reports) < maxGossipedReports {
		r.reports = append(r.reports, recentReport{report: report, expires: now.Add(gossipPeriod)})
	}
}

// current returns the reports that have not expired, and removes the others.
func (r *recentReports) current(now time.Time) []suspect.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = slices.DeleteFunc(r.reports, func(recent recentReport) bool { return now.After(recent.expires) })
	reports := make([]suspect.Report, 0, len(r.reports))
	for _, recent := range r.reports {
		reports = append(reports, recent.report)
	}
	return reports
}
