package tool

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/cmd/internal/control"
	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/finding"
)

// configCommands are the commands on the configuration document.
type configCommands struct {
	Validate validateCommand `cmd:"" help:"Check a section, or a whole document, without publishing it."`
	Show     showCommand     `cmd:"" help:"Print the document in force, or one section of it."`
	Diff     diffCommand     `cmd:"" help:"Compare a file with the section in force."`
	Publish  publishCommand  `cmd:"" help:"Replace a section of the document."`
	History  historyCommand  `cmd:"" help:"List the proposals and what became of them."`
	HashKey  hashKeyCommand  `cmd:"" name:"hash-key" help:"Hash an API key for the accounts section."`
}

// validateCommand checks a file.
type validateCommand struct {
	Section string `help:"Section that the file replaces. Without it the file is a whole document: an object with one member per section."`
	File    string `help:"JSON file to check." required:"" type:"existingfile"`
	Log     string `help:"Base URL of the log service: check the section as part of the document in force." placeholder:"URL" env:"WIGEONUSHER_LOG"`
}

// Help implements kong.HelpProvider.
func (validateCommand) Help() string {
	return `Prints all findings, each with its place as a JSON pointer.

Examples:
  wigeonusher config validate --file document.json
  wigeonusher config validate --section models --file models.json --log http://127.0.0.1:7000`
}

// validation is what validate prints.
type validation struct {
	Valid    bool         `json:"valid"`
	Findings finding.List `json:"findings"`
}

// Run checks the file.
func (c *validateCommand) Run(env *environment) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return eris.Wrap(err, "read file")
	}
	findings, err := c.check(env, body)
	if err != nil {
		return err
	}
	return env.report(findings)
}

func (c *validateCommand) check(env *environment, body []byte) (finding.List, error) {
	if c.Section == "" {
		return checkDocument(c.File, body), nil
	}
	if findings := checkJSON(c.File, body); len(findings) > 0 {
		return findings, nil
	}
	reader := control.NewReader(nil)
	if c.Log != "" {
		var err error
		if reader, err = (logArguments{Log: c.Log, Timeout: callTimeout}).caughtUp(env); err != nil {
			return nil, err
		}
	}
	verdict, err := reader.Check(proposalFor(reader, c.Section, body, "validate", ""))
	return verdict.Findings, err
}

// report prints findings and turns them into an error.
func (e *environment) report(findings finding.List) error {
	if findings == nil {
		findings = finding.List{}
	}
	err := e.print(validation{Valid: len(findings) == 0, Findings: findings}, func(w io.Writer) error {
		return writeFindings(w, findings)
	})
	if err != nil {
		return err
	}
	if len(findings) > 0 {
		return withCode(ExitFindings, eris.Errorf("%d findings", len(findings)))
	}
	return nil
}

func writeFindings(w io.Writer, findings finding.List) error {
	if len(findings) == 0 {
		_, err := fmt.Fprintln(w, "in order")
		return err
	}
	for _, found := range findings {
		if _, err := fmt.Fprintln(w, found.String()); err != nil {
			return err
		}
	}
	return nil
}

func proposalFor(reader *control.Reader, section string, body []byte, author, reason string) config.Proposal {
	name := config.SectionName(section)
	return config.Proposal{
		Section: name,
		Base:    reader.Document().Base(name),
		Author:  author,
		Reason:  reason,
		Body:    body,
	}
}

// showCommand prints the document in force.
type showCommand struct {
	logArguments
	Section string `help:"Section to print; all if empty."`
}

// Help implements kong.HelpProvider.
func (showCommand) Help() string {
	return `With --section, standard output is the section's body alone, ready to edit and to
publish again; its revision and author go to standard error.

Examples:
  wigeonusher config show --log http://127.0.0.1:7000
  wigeonusher config show --log http://127.0.0.1:7000 --section models > models.json`
}

// Run prints the document.
func (c *showCommand) Run(env *environment) error {
	reader, err := c.caughtUp(env)
	if err != nil {
		return err
	}
	doc := reader.Document()
	if c.Section == "" {
		return env.print(doc, func(w io.Writer) error { return writeDocument(w, doc) })
	}
	section, ok := doc.Sections[config.SectionName(c.Section)]
	if !ok {
		return eris.Errorf("section %q is not in force", c.Section)
	}
	return env.print(section, func(w io.Writer) error {
		fmt.Fprintf(env.err, "section %s, revision %d, author %s\n", c.Section, section.Revision, section.Author)
		_, err := fmt.Fprint(w, pretty(section.Body))
		return err
	})
}

func writeDocument(w io.Writer, doc *config.Document) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "document revision %d\n", doc.Revision)
	fmt.Fprintf(out, "SECTION\tREVISION\tAUTHOR\tBYTES\tREASON\n")
	for _, name := range sectionNames(doc) {
		section := doc.Sections[name]
		fmt.Fprintf(out, "%s\t%d\t%s\t%d\t%s\n", name, section.Revision, section.Author, len(section.Body), section.Reason)
	}
	return out.Flush()
}

func sectionNames(doc *config.Document) []config.SectionName {
	names := make([]config.SectionName, 0, len(doc.Sections))
	for name := range doc.Sections {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// pretty returns JSON with sorted members, one per line, ended by a newline.
func pretty(body json.RawMessage) string {
	var value any
	if json.Unmarshal(body, &value) != nil {
		return string(body) + "\n"
	}
	indented, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return string(body) + "\n"
	}
	return string(indented) + "\n"
}
