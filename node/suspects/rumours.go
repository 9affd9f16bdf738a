package suspects

import (
	"slices"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/suspect"
)

// rumours keeps the reports that are told to peers.
type rumours struct {
	mu      sync.Mutex
	reports []rumour
}

type rumour struct {
	report suspect.Report
	until  time.Time
}

func (r *rumours) add(now time.Time, report suspect.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.reports) < maxTold {
		r.reports = append(r.reports, rumour{report: report, until: now.Add(tellFor)})
	}
}

// current returns the reports that are still told.
func (r *rumours) current(now time.Time) []suspect.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = slices.DeleteFunc(r.reports, func(told rumour) bool { return now.After(told.until) })
	reports := make([]suspect.Report, 0, len(r.reports))
	for _, told := range r.reports {
		reports = append(reports, told.report)
	}
	return reports
}
