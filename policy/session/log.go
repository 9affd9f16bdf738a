package session

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// KindBorn is the kind of entries of the sessions stream, with a [Born] body.
const KindBorn platform.Kind = "session.born"

// MaxBirthsPerEntry bounds the births of one entry.
const MaxBirthsPerEntry = 1024

// ErrBorn reports an entry body that cannot be decoded.
var ErrBorn = eris.New("session: malformed births")

// Born records the births of several sessions at once.
type Born struct {
	Births []Birth `json:"births"`
}

// NewBornEntry encodes births as one entry of the sessions stream.
func NewBornEntry(id string, writer platform.InstanceID, births []Birth) (platform.Entry, error) {
	if len(births) == 0 || len(births) > MaxBirthsPerEntry {
		return platform.Entry{}, eris.Errorf("session: %d births, must be 1 to %d", len(births), MaxBirthsPerEntry)
	}
	return platform.NewEntry(id, KindBorn, writer, Born{Births: births})
}

// DecodeBorn decodes the body of an entry: all of its births, or [ErrBorn].
func DecodeBorn(body json.RawMessage) ([]Birth, error) {
	if len(body) > platform.MaxRecordBytes {
		return nil, ErrBorn
	}
	var born Born
	if err := json.Unmarshal(body, &born); err != nil {
		return nil, ErrBorn
	}
	if len(born.Births) == 0 || len(born.Births) > MaxBirthsPerEntry {
		return nil, ErrBorn
	}
	for _, birth := range born.Births {
		if birth.Account == "" || birth.Session == "" || len(birth.Pins) > MaxPins {
			return nil, ErrBorn
		}
	}
	return born.Births, nil
}
