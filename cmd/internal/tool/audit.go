package tool

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/wigeonusher/wigeonusher/cmd/internal/control"
)

// historyCommand lists the proposals to change the configuration.
type historyCommand struct {
	logArguments
	Section string `help:"Only this section."`
}

// Help implements kong.HelpProvider.
func (historyCommand) Help() string {
	return `Example:
  wigeonusher config history --log http://127.0.0.1:7000 --section models`
}

// Run prints the proposals, oldest first.
func (c *historyCommand) Run(env *environment) error {
	reader, err := c.openReader(env)
	if err != nil {
		return err
	}
	events := slices.DeleteFunc(slices.Clone(reader.Events()), func(event control.Event) bool {
		return !event.IsProposal() || (c.Section != "" && event.Subject != "section/"+c.Section)
	})
	return env.printEvents(events)
}

// auditCommand lists proposals and the automatic actions of instances.
type auditCommand struct {
	logArguments
	Automatic bool `help:"Only what instances did of their own accord."`
}

// Help implements kong.HelpProvider.
func (auditCommand) Help() string {
	return `Lists proposals with their verdicts, moves of roll-outs, crash suspects, claims and
releases, oldest first, with the time of the log. What came before the log's retention is not listed.

Examples:
  wigeonusher audit --log http://127.0.0.1:7000
  wigeonusher audit --log http://127.0.0.1:7000 --automatic --json`
}

// Run prints the audit trail, oldest first.
func (c *auditCommand) Run(env *environment) error {
	reader, err := c.openReader(env)
	if err != nil {
		return err
	}
	events := slices.DeleteFunc(slices.Clone(reader.Events()), func(event control.Event) bool {
		return c.Automatic && event.IsProposal()
	})
	return env.printEvents(events)
}

func (e *environment) printEvents(events []control.Event) error {
	if events == nil {
		events = []control.Event{}
	}
	return e.printResult(events, func(w io.Writer) error { return writeEvents(w, events) })
}

func writeEvents(w io.Writer, events []control.Event) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "TIME\tREVISION\tAUTHOR\tSUBJECT\tACTION\tREASON")
	for _, event := range events {
		revision := "-"
		if event.Verdict != nil {
			revision = fmt.Sprint(event.Verdict.Revision)
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\n",
			event.Time.UTC().Format(time.RFC3339), revision, event.Author, event.Subject, event.Action, reasonText(event))
	}
	return out.Flush()
}

func reasonText(event control.Event) string {
	if event.Verdict == nil {
		return event.Reason
	}
	if current := event.Verdict.Current; current != nil {
		return fmt.Sprintf("%s (lost against revision %d of %s)", event.Reason, current.Revision, current.Author)
	}
	if findings := event.Verdict.Findings; len(findings) > 0 {
		return fmt.Sprintf("%s (%d findings, first %s)", event.Reason, len(findings), findings[0])
	}
	return event.Reason
}
