package tool

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// statusCommand prints the status of instances.
type statusCommand struct {
	Instance []string `help:"Admin address of an instance; may be repeated." required:"" placeholder:"ADDRESS"`
}

// Help implements kong.HelpProvider.
func (statusCommand) Help() string {
	return `Exits with 1 if an instance does not answer or is not ready. With --json the whole
answer of each instance is in "details".

Example:
  wigeonusher status --instance 127.0.0.1:9001 --instance 127.0.0.1:9002`
}

// Run reads and prints the statuses of the given instances.
func (c *statusCommand) Run(env *environment) error {
	statuses := make([]instanceStatus, 0, len(c.Instance))
	notReady := 0
	for _, address := range c.Instance {
		status := env.fetchStatus(env.ctx, address)
		if status.Error != "" || !status.Ready {
			notReady++
		}
		statuses = append(statuses, status)
	}
	err := env.printResult(statuses, func(w io.Writer) error { return writeStatuses(w, statuses) })
	if err != nil {
		return err
	}
	if notReady > 0 {
		return eris.Errorf("%d of %d instances do not answer or are not ready", notReady, len(statuses))
	}
	return nil
}

func writeStatuses(w io.Writer, statuses []instanceStatus) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "ADDRESS\tINSTANCE\tZONE\tSTATE\tREVISION")
	for _, status := range statuses {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\n", status.Address, status.Instance, status.Zone, statusText(status), status.Revision)
	}
	return out.Flush()
}

func statusText(status instanceStatus) string {
	switch {
	case status.Error != "":
		return status.Error
	case status.Stopping:
		return "stopping"
	case status.Ready:
		return "ready"
	default:
		return "not ready"
	}
}
