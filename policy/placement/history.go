package placement

import "time"

const (
	// historyBuckets times historyWidth is how far back dispatches are known.
	historyBuckets = 100
	historyWidth   = 100 * time.Millisecond
)

// history counts the dispatches of the last ten seconds, and their ends, in
// buckets of a tenth of a second.
type history struct {
	// newest is the number of the newest bucket since 1970.
	newest  int64
	buckets [historyBuckets]historyBucket
}

type historyBucket struct {
	sent  uint16
	ended uint16
}

func (h *history) add(now time.Time, sent, ended uint16) {
	h.advance(bucketOf(now))
	bucket := &h.buckets[h.newest%historyBuckets]
	bucket.sent += sent
	bucket.ended += ended
}

// since returns the dispatches and ends after the time given. The bucket that
// holds the time itself counts whole.
func (h *history) since(now, from time.Time) (sent, ended int) {
	h.advance(bucketOf(now))
	oldest := max(bucketOf(from), h.newest-historyBuckets+1)
	for number := oldest; number <= h.newest; number++ {
		bucket := h.buckets[number%historyBuckets]
		sent += int(bucket.sent)
		ended += int(bucket.ended)
	}
	return sent, ended
}

// advance clears the buckets between the newest and the one given. Time that
// runs backwards is ignored.
func (h *history) advance(number int64) {
	if number <= h.newest {
		return
	}
	first := max(h.newest+1, number-historyBuckets+1)
	for cleared := first; cleared <= number; cleared++ {
		h.buckets[cleared%historyBuckets] = historyBucket{}
	}
	h.newest = number
}

func bucketOf(at time.Time) int64 {
	return max(0, at.UnixNano()/int64(historyWidth))
}
