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

func (j *judge) billing() {
	once := j.table.row(BilledOnce)
	for _, o := range j.history.Observations {
		if o.Result != observation.Answered || !o.Kind.IsChat() {
			continue
		}
		once.Checked++
		if len(j.bills[o.RequestID]) == 0 {
			once.breach("%s, answered by %s, has no bill", o.RequestID, o.Instance)
		}
	}
	most := j.table.row(BilledAtMostOnce)
	for _, id := range sortedKeys(j.bills) {
		most.Checked++
		if bills := j.bills[id]; len(bills) > 1 {
			most.breach("%s has %d bills", id, len(bills))
		}
		if len(j.runsByID[id]) == 0 {
			most.breach("%s has a bill and no endpoint ran it", id)
		}
	}
}
