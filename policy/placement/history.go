package placement

import "time"

const (
	// The history covers historyBuckets times bucketWidth.
	historyBuckets = 100
	bucketWidth    = 100 * time.Millisecond
)

// history counts the dispatches, and the ends of dispatches, of the last ten
// seconds in buckets of a tenth of a second.
type history struct {
	// newest is the number of the newest bucket, counted from 1970.
	newest  int64
	buckets [historyBuckets]historyBucket
}

type historyBucket struct {
	sent  uint16
	ended uint16
}

func (h *history) add(now time.Time, sent, ended uint16) {
	h.advance(bucketNumber(now))
	bucket := &h.buckets[h.newest%historyBuckets]
	bucket.sent += sent
	bucket.ended += ended
}

// since returns the numbers of dispatches and ends from the time in the argument
// from until now, as far as the history covers it. The bucket that contains the
// time is counted completely.
func (h *history) since(now, from time.Time) (sent, ended int) {
	h.advance(bucketNumber(now))
	oldest := max(bucketNumber(from), h.newest-historyBuckets+1)
	for number := oldest; number <= h.newest; number++ {
		bucket := h.buckets[number%historyBuckets]
		sent += int(bucket.sent)
		ended += int(bucket.ended)
	}
	return sent, ended
}

// advance makes the bucket with the given number the newest and clears the
// buckets after the previous newest one. A number that is not above the newest is
// ignored.
func (h *history) advance(number int64) {
	if number <= h.newest {
		return
	}
	first := max(h.newest+1, number-historyBuckets+1)
	for bucket := first; bucket <= number; bucket++ {
		h.buckets[bucket%historyBuckets] = historyBucket{}
	}
	h.newest = number
}

func bucketNumber(t time.Time) int64 {
	return max(0, t.UnixNano()/int64(bucketWidth))
}
