package intent

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// snapshot is the encoding of a [Ledger].
type snapshot struct {
	FirstFolded platform.Offset `json:"since"`
	LastFolded  platform.Offset `json:"last"`
	Rows        []snapshotRow   `json:"rows"`
}

// snapshotRow is the encoding of one row. Rows are ordered by Touched.
type snapshotRow struct {
	Key           string              `json:"key"`
	Touched       uint64              `json:"touched"`
	Fencing       uint64              `json:"fencing,omitempty"`
	Writer        platform.InstanceID `json:"writer,omitempty"`
	Attempt       string              `json:"attempt,omitempty"`
	Fingerprint   string              `json:"fingerprint,omitempty"`
	State         State               `json:"state"`
	OtherAttempts []string            `json:"others,omitempty"`
	Tentative     bool                `json:"tentative,omitempty"`
	OutcomeNumber uint64              `json:"decided,omitempty"`
	Status        int32               `json:"status,omitempty"`
	Body          []byte              `json:"body,omitempty"`
	Truncated     bool                `json:"truncated,omitempty"`
	Unknown       bool                `json:"unknown,omitempty"`
}

// Snapshot implements fold.Part. Ledgers in the same state have equal
// snapshots.
func (l *Ledger) Snapshot() (json.RawMessage, error) {
	s := snapshot{FirstFolded: l.firstFolded, LastFolded: l.lastFolded, Rows: make([]snapshotRow, 0, len(l.rows))}
	for key, r := range l.rows {
		s.Rows = append(s.Rows, encodeRow(key, r))
	}
	slices.SortFunc(s.Rows, func(a, b snapshotRow) int { return cmp.Compare(a.Touched, b.Touched) })
	encoded, err := json.Marshal(s)
	return encoded, eris.Wrap(err, "intent: encode snapshot")
}

// Restore implements fold.Part.
func (l *Ledger) Restore(encoded json.RawMessage) error {
	var s snapshot
	if err := json.Unmarshal(encoded, &s); err != nil {
		return eris.Wrap(err, "intent: decode snapshot")
	}
	restored := NewLedger(l.cfg, l.onDecision)
	restored.firstFolded, restored.lastFolded = s.FirstFolded, s.LastFolded
	for i, row := range s.Rows {
		if i > 0 && row.Touched <= s.Rows[i-1].Touched {
			return eris.Errorf("intent: snapshot row %d is out of order", i)
		}
		if err := restored.restoreRow(row); err != nil {
			return eris.Wrapf(err, "intent: snapshot row %d", i)
		}
	}
	slices.SortFunc(restored.bodyOrder.items, func(a, b keyPosition) int { return cmp.Compare(a.number, b.number) })
	*l = *restored
	return nil
}

func encodeRow(key digest, r *row) snapshotRow {
	return snapshotRow{
		Key:           hex.EncodeToString(key[:]),
		Touched:       r.touched,
		Fencing:       r.fencing,
		Writer:        r.writer,
		Attempt:       r.attempt,
		Fingerprint:   r.fingerprint,
		State:         r.state,
		OtherAttempts: encodeDigests(r.otherAttempts),
		Tentative:     r.tentative,
		OutcomeNumber: r.outcomeNumber,
		Status:        r.status,
		Body:          r.body,
		Truncated:     r.truncated,
		Unknown:       r.unknown,
	}
}

func (l *Ledger) restoreRow(row snapshotRow) error {
	key, err := decodeDigest(row.Key)
	if err != nil {
		return err
	}
	if row.State != Free && row.State != Claimed && row.State != Done {
		return eris.Errorf("unknown state %q", row.State)
	}
	if l.rows[key] != nil {
		return eris.Errorf("duplicate key %q", row.Key)
	}
	r := l.rowFor(key)
	l.touch(key, r, row.Touched)
	for _, other := range row.OtherAttempts {
		d, err := decodeDigest(other)
		if err != nil {
			return err
		}
		r.otherAttempts = append(r.otherAttempts, d)
	}
	l.otherAttempts += len(r.otherAttempts)
	r.tentative = row.Tentative
	r.fencing = row.Fencing
	r.writer = intern(row.Writer)
	r.attempt = row.Attempt
	r.fingerprint = row.Fingerprint
	r.state = row.State
	r.outcomeNumber = row.OutcomeNumber
	r.status = row.Status
	r.truncated = row.Truncated
	r.unknown = row.Unknown
	if len(row.Body) > 0 {
		l.storeBody(keyPosition{key: key, number: row.OutcomeNumber}, r, row.Body)
	}
	return nil
}

func encodeDigests(digests []digest) []string {
	var encoded []string
	for _, d := range digests {
		encoded = append(encoded, hex.EncodeToString(d[:]))
	}
	return encoded
}

func decodeDigest(encoded string) (digest, error) {
	decoded, err := hex.DecodeString(encoded)
	if err != nil || len(decoded) != len(digest{}) {
		return digest{}, eris.Errorf("invalid digest %q", encoded)
	}
	return digest(decoded), nil
}
