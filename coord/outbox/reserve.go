package outbox

import (
	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// ErrReservationUsed reports a reservation that was used or cancelled before.
var ErrReservationUsed = eris.New("outbox: reservation already used")

// Reservation keeps room for one entry, for work that must not start unless
// its entry can be held later. It is not safe for concurrent use with its
// outbox.
type Reservation struct {
	box   *Outbox
	bytes int
	used  bool
}

// Reserve keeps room for an entry of at most the given encoded size, in
// bytes. The error is [ErrFull].
func (o *Outbox) Reserve(bytes int) (*Reservation, error) {
	if !o.hasRoom(bytes) {
		return nil, ErrFull
	}
	o.reservedEntries++
	o.reservedBytes += bytes
	return &Reservation{box: o, bytes: bytes}, nil
}

// Add turns the reservation into a held entry. An entry within the reserved
// size is always taken; a larger one needs room like any other. The other
// errors are those of [Outbox.Add] and [ErrReservationUsed]. After an error
// other than the last the reservation stands.
func (r *Reservation) Add(entry platform.Entry) error {
	if r.used {
		return ErrReservationUsed
	}
	r.Cancel()
	err := r.box.take(entry, r.bytes)
	if err != nil {
		r.restore()
	}
	return err
}

// Cancel gives the room back. It may be called more than once.
func (r *Reservation) Cancel() {
	if r.used {
		return
	}
	r.used = true
	r.box.reservedEntries--
	r.box.reservedBytes -= r.bytes
}

func (r *Reservation) restore() {
	r.used = false
	r.box.reservedEntries++
	r.box.reservedBytes += r.bytes
}
