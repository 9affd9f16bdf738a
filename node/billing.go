package node

import (
	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/caller"
	"github.com/wigeonusher/wigeonusher/node/logwriter"
)

// KindBill is the kind of a bill in the bills stream.
const KindBill platform.Kind = "bill"

// biller turns bills into entries of the bills stream.
type biller struct {
	instance platform.InstanceID
	writer   *logwriter.Writer
}

// Bill implements caller.Biller.
func (b *biller) Bill(bill caller.Bill) error {
	entry, err := platform.NewEntry("bill/"+bill.Key, KindBill, b.instance, bill)
	if err != nil {
		return err
	}
	return eris.Wrap(b.writer.Add(entry), "node: bill")
}
