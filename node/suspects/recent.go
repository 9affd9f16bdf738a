package suspects

import (
	"slices"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/suspect"
)

// recentReports keeps the reports that are told to peers.
type recentReports struct {
	mu      sync.Mutex
	reports []recentReport
}

type recentReport struct {
	report suspect.Report
	until  time.Time
}

func (r *recentReports) add(now time.Time, report suspect.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.reports) < maxTold {
		r.reports = append(r.reports, recentReport{report: report, until: now.Add(tellFor)})
	}
}

// current returns the reports that are still told.
func (r *recentReports) current(now time.Time) []suspect.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = slices.DeleteFunc(r.reports, func(told recentReport) bool { return now.After(told.until) })
	reports := make([]suspect.Report, 0, len(r.reports))
	for _, told := range r.reports {
		reports = append(reports, told.report)
	}
	return reports
}
