package tool

import (
	"fmt"
	"io"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/config"
)

const diffContext = 3

// diffCommand compares a file with a section in force.
type diffCommand struct {
	logArguments
	Section string `help:"Section to compare with." required:""`
	File    string `help:"JSON file with the section's new body." required:"" type:"existingfile"`
}

// Help implements kong.HelpProvider.
func (diffCommand) Help() string {
	return `Both sides are printed in the same form first, so that only differences of content show.

Example:
  wigeonusher config diff --section models --file models.json --log http://127.0.0.1:7000`
}

// difference is the JSON output of the diff command.
type difference struct {
	Section  string          `json:"section"`
	Revision config.Revision `json:"revision"`
	Equal    bool            `json:"equal"`
	Diff     string          `json:"diff"`
}

// Run prints the unified diff from the section in force to the file.
func (c *diffCommand) Run(env *environment) error {
	body, reader, err := c.readInputs(env, c.File)
	if err != nil {
		return err
	}
	section := reader.Document().Sections[config.SectionName(c.Section)]
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(indentJSON(section.Body)),
		B:        difflib.SplitLines(indentJSON(body)),
		FromFile: fmt.Sprintf("%s, revision %d", c.Section, section.Revision),
		ToFile:   c.File,
		Context:  diffContext,
	})
	if err != nil {
		return eris.Wrap(err, "compare")
	}
	result := difference{Section: c.Section, Revision: section.Revision, Equal: text == "", Diff: text}
	return env.printResult(result, func(w io.Writer) error {
		_, err := fmt.Fprint(w, text)
		return err
	})
}
