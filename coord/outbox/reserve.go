package outbox

import (
	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// ErrReservationUsed reports a reservation that was already used or cancelled.
var ErrReservationUsed = eris.New("outbox: reservation already used")

// Reservation reserves room for one entry, for work that must not start unless
// the outbox can accept its entry later. It is not safe for concurrent use with
// its outbox.
type Reservation struct {
	box   *Outbox
	bytes int
	used  bool
}

// Reserve reserves room for one entry of at most the given encoded size, in
// bytes. The error is [ErrFull].
func (o *Outbox) Reserve(bytes int) (*Reservation, error) {
	if !o.hasRoom(bytes) {
		return nil, ErrFull
	}
	o.reservedEntries++
	o.reservedBytes += bytes
	return &Reservation{box: o, bytes: bytes}, nil
}

// Add adds the entry and uses up the reservation. An entry within the reserved
// size is always accepted; a larger one needs room like any other. The errors
// are those of [Outbox.Add] and [ErrReservationUsed]. After an error of
// [Outbox.Add] the reservation is still valid.
func (r *Reservation) Add(entry platform.Entry) error {
	if r.used {
		return ErrReservationUsed
	}
	r.Cancel()
	err := r.box.enqueue(entry, r.bytes)
	if err != nil {
		r.reserveAgain()
	}
	return err
}

// Cancel releases the reserved room. It may be called more than once.
func (r *Reservation) Cancel() {
	if r.used {
		return
	}
	r.used = true
	r.box.reservedEntries--
	r.box.reservedBytes -= r.bytes
}

func (r *Reservation) reserveAgain() {
	r.used = false
	r.box.reservedEntries++
	r.box.reservedBytes += r.bytes
}
