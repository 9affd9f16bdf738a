package check

import (
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// Unbilled returns the number of answered chat requests without a bill in the
// log.
func Unbilled(history History) int {
	bills := history.billsByRequest()
	unbilled := 0
	for _, o := range history.Observations {
		if o.Result == observation.Answered && o.Kind.IsChat() && len(bills[o.RequestID]) == 0 {
			unbilled++
		}
	}
	return unbilled
}

// checkBills reports answered chat requests without a bill, requests with several
// bills, and bills of requests that no endpoint ran.
func (e *evaluation) checkBills() {
	missingRow := e.table.row(BilledOnce)
	for _, o := range e.history.Observations {
		if o.Result != observation.Answered || !o.Kind.IsChat() {
			continue
		}
		missingRow.Checked++
		if len(e.bills[o.RequestID]) == 0 {
			missingRow.addViolation("%s, answered by %s, has no bill", o.RequestID, o.Instance)
		}
	}
	excessRow := e.table.row(BilledAtMostOnce)
	for _, id := range sortedKeys(e.bills) {
		excessRow.Checked++
		if bills := e.bills[id]; len(bills) > 1 {
			excessRow.addViolation("%s has %d bills", id, len(bills))
		}
		if len(e.runsByID[id]) == 0 {
			excessRow.addViolation("%s has a bill and no endpoint ran it", id)
		}
	}
}
