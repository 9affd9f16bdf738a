package tool

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/cmd/internal/control"
	"github.com/wigeonusher/wigeonusher/coord/config"
)

// publishCommand replaces a section of the configuration document.
type publishCommand struct {
	logArguments
	Section  string        `help:"Section to replace." required:""`
	File     string        `help:"JSON file with the section's new body." required:"" type:"existingfile"`
	Author   string        `help:"Who publishes." required:"" env:"WIGEONUSHER_AUTHOR"`
	Reason   string        `help:"Why, for the audit trail."`
	Base     uint64        `help:"Revision of the section that was edited; the present one if not given."`
	Wait     time.Duration `help:"How long to wait until the revision is in force on the instances named."`
	Instance []string      `help:"Admin address of an instance to wait for; may be repeated." placeholder:"ADDRESS"`
}

// Help implements kong.HelpProvider.
func (publishCommand) Help() string {
	return `The whole document is checked first; all findings are printed and nothing is published
if there are any. If somebody else has changed the section since the base revision, theirs stays
in force, and the command names their revision and author and exits with 4. Other sections do not
matter. An append whose answer is lost is settled by reading the log back.

Examples:
  wigeonusher config publish --section models --file models.json --author ana --reason "add strong v3"
  wigeonusher config publish --section accounts --file accounts.json --author ben --base 7168 \
      --wait 16s --instance 127.0.0.1:9001 --instance 127.0.0.1:9002`
}

// publication is the JSON output of the publish command.
type publication struct {
	Verdict config.Verdict `json:"verdict"`
	// Pending contains the given instances that did not have the revision when the
	// wait ended.
	Pending []instanceStatus `json:"pending,omitempty"`
	// InForce reports that the proposal was accepted and is in force on all given
	// instances, or that it was accepted and no wait was requested.
	InForce bool `json:"in_force"`
}

// Run checks the proposal, publishes it if it would be accepted, and waits, if
// requested, until it is in force.
func (c *publishCommand) Run(env *environment) error {
	body, reader, err := c.readInputs(env, c.File)
	if err != nil {
		return err
	}
	proposal := newProposal(reader, c.Section, body, c.Author, c.Reason)
	if c.Base > 0 {
		proposal.Base = config.Revision(c.Base)
	}
	expected, err := reader.Check(proposal)
	if err != nil {
		return err
	}
	if expected.Result != config.Accepted {
		return env.reportRejection(expected)
	}
	ctx, cancel := context.WithTimeout(env.ctx, c.Timeout)
	defer cancel()
	verdict, err := reader.Publish(ctx, "tool/"+rand.Text(), proposal)
	if eris.Is(err, control.ErrOutcomeUnknown) {
		return withExitCode(ExitOutcomeUnknown, err)
	}
	if err != nil {
		return err
	}
	if verdict.Result != config.Accepted {
		return env.reportRejection(verdict)
	}
	return c.waitInForce(env, verdict)
}

// reportRejection prints the conflict or the findings of a verdict other than
// [config.Accepted]. The error has the exit code [ExitConflict] or [ExitFindings].
func (e *environment) reportRejection(verdict config.Verdict) error {
	if verdict.Result != config.Conflicted {
		return e.reportFindings(verdict.Findings)
	}
	err := e.printResult(publication{Verdict: verdict}, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, conflictText(verdict))
		return err
	})
	if err != nil {
		return err
	}
	return withExitCode(ExitConflict, eris.New("conflict, nothing was changed"))
}

func conflictText(verdict config.Verdict) string {
	if verdict.Current == nil {
		return fmt.Sprintf("section %s is not at the base revision: it is not in force", verdict.Section)
	}
	return fmt.Sprintf("section %s is at revision %d of author %s (reason: %q); show it, edit again and publish",
		verdict.Section, verdict.Current.Revision, verdict.Current.Author, verdict.Current.Reason)
}

// waitInForce waits until the accepted revision is in force on the given instances,
// if requested, and prints the result.
func (c *publishCommand) waitInForce(env *environment, verdict config.Verdict) error {
	result := publication{Verdict: verdict, InForce: true}
	if c.Wait > 0 {
		ctx, cancel := context.WithTimeout(env.ctx, c.Wait)
		defer cancel()
		result.Pending = env.awaitRevision(ctx, c.Instance, uint64(verdict.Revision))
		result.InForce = len(result.Pending) == 0
	}
	err := env.printResult(result, func(w io.Writer) error { return writePublication(w, result, c.Wait) })
	if err != nil {
		return err
	}
	if !result.InForce {
		return withExitCode(ExitNotInForce, eris.Errorf("not in force on %d of %d instances", len(result.Pending), len(c.Instance)))
	}
	return nil
}

func writePublication(w io.Writer, result publication, wait time.Duration) error {
	_, err := fmt.Fprintf(w, "section %s accepted as revision %d\n", result.Verdict.Section, result.Verdict.Revision)
	if err != nil || wait == 0 {
		return err
	}
	for _, status := range result.Pending {
		state := fmt.Sprintf("has revision %d", status.Revision)
		if status.Error != "" {
			state = status.Error
		}
		if _, err := fmt.Fprintf(w, "not in force on %s: %s\n", status.Address, state); err != nil {
			return err
		}
	}
	if result.InForce {
		_, err = fmt.Fprintln(w, "in force on all instances asked")
	}
	return err
}

// awaitRevision polls the instances until all have the revision or the context
// ends. It returns the statuses of those without it.
func (e *environment) awaitRevision(ctx context.Context, addresses []string, revision uint64) []instanceStatus {
	const pollInterval = 100 * time.Millisecond
	pending := make([]instanceStatus, 0, len(addresses))
	for _, address := range addresses {
		pending = append(pending, instanceStatus{Address: address, Error: "not asked in time"})
	}
	for len(pending) > 0 {
		pending = e.pollPending(ctx, pending, revision)
		select {
		case <-ctx.Done():
			return pending
		case <-time.After(pollInterval):
		}
	}
	return pending
}

// pollPending returns the statuses of the pending instances that still lack the
// revision. An instance keeps its previous status if the context ends before its
// new one is read.
func (e *environment) pollPending(ctx context.Context, pending []instanceStatus, revision uint64) []instanceStatus {
	var remaining []instanceStatus
	for _, previous := range pending {
		status := e.fetchStatus(ctx, previous.Address)
		if ctx.Err() != nil {
			status = previous
		}
		if status.Error != "" || status.Revision < revision {
			remaining = append(remaining, status)
		}
	}
	return remaining
}
