package check

import (
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// Unbilled counts answered chat requests whose bill is not in the log.
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

func (e *evaluation) billing() {
	once := e.table.row(BilledOnce)
	for _, o := range e.history.Observations {
		if o.Result != observation.Answered || !o.Kind.IsChat() {
			continue
		}
		once.Checked++
		if len(e.bills[o.RequestID]) == 0 {
			once.violation("%s, answered by %s, has no bill", o.RequestID, o.Instance)
		}
	}
	most := e.table.row(BilledAtMostOnce)
	for _, id := range sortedKeys(e.bills) {
		most.Checked++
		if bills := e.bills[id]; len(bills) > 1 {
			most.violation("%s has %d bills", id, len(bills))
		}
		if len(e.runsByID[id]) == 0 {
			most.violation("%s has a bill and no endpoint ran it", id)
		}
	}
}
