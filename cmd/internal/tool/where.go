package tool

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/node/entry"
)

// maxWhereBytes bounds an explanation: an endpoint takes about 300 bytes.
const maxWhereBytes = 4 << 20

// whereCommand explains where a request would go now.
type whereCommand struct {
	Instance string `help:"Admin address of the instance." placeholder:"ADDRESS" xor:"source" required:""`
	Snapshot string `help:"File with an explanation that was recorded with --json." type:"existingfile" xor:"source" required:""`

	Route        string   `help:"Name of the route, instead of host and path." xor:"route"`
	Host         string   `help:"Host of the request." xor:"route"`
	Path         string   `help:"Path of the request."`
	Key          string   `help:"API key." env:"WIGEONUSHER_KEY" xor:"account"`
	Account      string   `help:"Name of the account, instead of a key." xor:"account"`
	Session      string   `help:"ID of the session."`
	Request      string   `help:"ID of the request, which decides whether it is in the share that leaves the zone."`
	Service      string   `help:"Service of the route to explain; the one of the largest share if not given."`
	Model        string   `help:"Model that the request names; any model of the route if not given."`
	Tokens       int      `help:"Length of the prompt in tokens."`
	AnswerTokens int      `help:"Length of the answer in tokens that the client asks for."`
	Bytes        int      `help:"Size of the request's body."`
	Part         []string `help:"A part of the prompt; may be repeated, in order. All but the last may be shared." placeholder:"ID[:TOKENS]" sep:"none"`
}

// Help implements kong.HelpProvider.
func (whereCommand) Help() string {
	return `Asks an instance where it would send a request now, and why, without sending it. Nothing is counted, and no
permit or place is taken. With --json the answer is printed as the instance gives it; --snapshot reads such a file.

Example:
  wigeonusher where --instance 127.0.0.1:8201 --host api.example.org --path /v1/chat --account ana --tokens 900 --part system:800 --part turn:100`
}

// Run prints the explanation.
func (c *whereCommand) Run(env *environment) error {
	body, err := c.read(env)
	if err != nil {
		return err
	}
	where := &entry.Where{}
	if err := json.Unmarshal(body, where); err != nil {
		return eris.Wrap(err, "decode the explanation")
	}
	if where.Instance == "" && where.Route == "" {
		return withExitCode(ExitFindings, eris.New("not an explanation: it names neither an instance nor a route"))
	}
	return env.printResult(where, func(w io.Writer) error { return writeWhere(w, where) })
}

func (c *whereCommand) read(env *environment) ([]byte, error) {
	if c.Snapshot != "" {
		body, err := os.ReadFile(c.Snapshot)
		return body, eris.Wrap(err, "read the snapshot")
	}
	if c.Route == "" && c.Host == "" {
		return nil, withExitCode(ExitUsage, errors.New("name the request's --route, or its --host and --path"))
	}
	request, err := http.NewRequestWithContext(env.ctx, http.MethodGet, "http://"+c.Instance+"/where?"+c.parameters().Encode(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	response, err := env.client.Do(request)
	if err != nil {
		return nil, eris.Errorf("instance %s cannot be reached: %s", c.Instance, eris.Cause(err))
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWhereBytes))
	if err != nil {
		return nil, eris.Wrapf(err, "read the answer of %s", c.Instance)
	}
	if response.StatusCode != http.StatusOK {
		var failure struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(body, &failure) != nil || failure.Error == "" {
			return nil, eris.Errorf("instance %s answers with status %d: it may be one that does not explain requests", c.Instance, response.StatusCode)
		}
		return nil, withExitCode(ExitFindings, eris.Errorf("instance %s: %s", c.Instance, failure.Error))
	}
	return body, nil
}

func (c *whereCommand) parameters() url.Values {
	parameters := url.Values{"part": c.Part}
	for name, value := range map[string]string{
		"route": c.Route, "host": c.Host, "path": c.Path, "account": c.Account, "session": c.Session, "request": c.Request,
		"service": c.Service, "model": c.Model,
		"tokens": strconv.Itoa(c.Tokens), "answer_tokens": strconv.Itoa(c.AnswerTokens), "bytes": strconv.Itoa(c.Bytes),
	} {
		if value != "" {
			parameters.Set(name, value)
		}
	}
	return parameters
}

func writeWhere(w io.Writer, where *entry.Where) error {
	out := &strings.Builder{}
	p := &where.Placement
	fmt.Fprintf(out, "instance %s of zone %s at %s\n", where.Instance, where.Zone, where.At.Format("15:04:05.000Z"))
	fmt.Fprintf(out, "  configuration: revision %d, %d ms old; registry: %d ms old\n", where.Revision, where.ConfigAgeMillis, where.RegistryAgeMillis)
	fmt.Fprintf(out, "  route %s, account %s, session %s, priority %d\n", where.Route, orNone(string(where.Account)), orNone(where.Session), where.Priority)
	fmt.Fprintf(out, "  service %s", where.Service)
	for _, share := range where.Split {
		fmt.Fprintf(out, "; %.0f%% to %s", share.Share*100, share.Service)
	}
	fmt.Fprintf(out, "\n  model asked first: %s, usual first event after %d ms\n", orNone(string(where.Model)), p.FirstEventMillis)
	writeWhereAdmission(out, &where.Admission)
	if !where.VersionsCertain {
		out.WriteString("  version: peers or the ID of the request may decide for another version\n")
	}
	fmt.Fprintf(out, "  zone: decided about: %t", p.ZoneAware)
	if p.Leave != "" {
		fmt.Fprintf(out, "; the request leaves (%s)", p.Leave)
	}
	out.WriteByte('\n')
	if p.First != "" {
		fmt.Fprintf(out, "  prompt part: %s ranks first, %s second, among costs up to %.2f\n", p.First, orNone(string(p.Second)), p.CostBound)
	}
	if p.LongPrompt {
		out.WriteString("  the prompt counts as long\n")
	}
	if where.PathBroken {
		out.WriteString("  this instance reaches no endpoint of the service and would forward the request to a peer\n")
	}
	switch {
	case where.Refusal != "":
		fmt.Fprintf(out, "would be refused: %s", where.Refusal)
		if p.LimitWaitMillis > 0 {
			fmt.Fprintf(out, ", limits allow a request in about %d ms", p.LimitWaitMillis)
		}
		out.WriteByte('\n')
	case p.Chosen != "":
		fmt.Fprintf(out, "would go to %s\n", p.Chosen)
	}
	if _, err := io.WriteString(w, out.String()); err != nil {
		return err
	}
	return writeWhereEndpoints(w, where)
}

func writeWhereAdmission(out *strings.Builder, admission *entry.WhereAdmission) {
	switch {
	case !admission.Enabled:
		out.WriteString("  admission: off\n")
	case !admission.MayRefuse:
		fmt.Fprintf(out, "  admission: scarce: %t; admitted, rank %d, expected wait %d ms\n", admission.Scarce, admission.Rank, admission.WaitMillis)
	default:
		fmt.Fprintf(out, "  admission: scarce: true; %.0f%% admitted at once", admission.Admitted*100)
		if admission.Reason != "" {
			fmt.Fprintf(out, ", others refused (%s)", admission.Reason)
		}
		fmt.Fprintf(out, ", rank %d, expected wait %d ms\n", admission.Rank, admission.WaitMillis)
	}
}

func writeWhereEndpoints(w io.Writer, where *entry.Where) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "ENDPOINT\tZONE\tVERSION\tLOAD\tSLOTS\tPACE\tCOST\tLOAD AGE\tCANDIDATE\tRULED OUT")
	for _, e := range where.Placement.Endpoints {
		pace, age := "-", "-"
		if e.PaceAgeMillis != nil {
			pace = strconv.FormatFloat(e.Pace, 'f', 2, 64)
		}
		if e.LoadAgeMillis != nil {
			age = fmt.Sprintf("%d ms", *e.LoadAgeMillis)
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%.2f\t%d\t%s\t%.2f\t%s\t%t\t%s\n", e.ID, e.Zone, e.Version, e.Load, e.Slots, pace, e.Cost, age, e.Candidate, orNone(string(e.Excluded)))
	}
	return out.Flush()
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
