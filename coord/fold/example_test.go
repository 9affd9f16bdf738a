package fold_test

import (
	"encoding/json"
	"fmt"

	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// counter counts entries of one kind.
type counter struct{ count int }

func (c *counter) Name() string { return "counter" }

func (c *counter) Apply(_ platform.Position, entry platform.Entry) {
	if entry.Kind == "example.count" {
		c.count++
	}
}

func (c *counter) Snapshot() (json.RawMessage, error)     { return json.Marshal(c.count) }
func (c *counter) Restore(snapshot json.RawMessage) error { return json.Unmarshal(snapshot, &c.count) }

func Example() {
	first := &counter{}
	stream := fold.NewStream(first)
	payload, _ := platform.EncodeEntries([]platform.Entry{
		{ID: "1", Kind: "example.count", Body: json.RawMessage("null")},
		{ID: "1", Kind: "example.count", Body: json.RawMessage("null")}, // appended again
		{ID: "2", Kind: "example.other", Body: json.RawMessage("null")},
	})
	stream.Apply(platform.Record{Offset: 1, Payload: payload})

	second := &counter{}
	fresh := fold.NewStream(second)
	snapshot, _ := stream.Snapshot()
	err := fresh.Restore(snapshot)
	fmt.Println(first.count, second.count, fresh.Next(), err)
	// Output: 1 1 2 <nil>
}
