package config_test

import (
	"encoding/json"
	"fmt"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/finding"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Two operators edit one section from the same base; the first in the log wins.
func Example() {
	valid := func(*config.Document) finding.List { return nil }
	f := config.NewFold(valid, func(verdict config.Verdict) {
		fmt.Println(verdict.Author, verdict.Result)
	})
	for i, author := range []string{"asha", "binod"} {
		proposal := config.Proposal{Section: "models", Base: 0, Author: author, Body: json.RawMessage(`{}`)}
		entry, _ := platform.NewEntry(author, config.KindProposal, "tool", proposal)
		f.Apply(platform.Position{Offset: platform.Offset(i + 1)}, entry)
	}
	fmt.Println(f.Document().Sections["models"].Author)
	// Output:
	// asha accepted
	// binod conflicted
	// asha
}
