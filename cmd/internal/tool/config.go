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

// configCommands groups the commands for the configuration document.
type configCommands struct {
	Validate validateCommand `cmd:"" help:"Check a section, or a whole document, without publishing it."`
	Show     showCommand     `cmd:"" help:"Print the document in force, or one section of it."`
	Diff     diffCommand     `cmd:"" help:"Compare a file with the section in force."`
	Publish  publishCommand  `cmd:"" help:"Replace a section of the document."`
	History  historyCommand  `cmd:"" help:"List the proposals and what became of them."`
	HashKey  hashKeyCommand  `cmd:"" name:"hash-key" help:"Hash an API key for the accounts section."`
}

// validateCommand checks a section or a whole document without publishing it.
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

// validation is the JSON output of the validate command.
type validation struct {
	Valid    bool         `json:"valid"`
	Findings finding.List `json:"findings"`
}

// Run checks the file and prints the findings.
func (c *validateCommand) Run(env *environment) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return eris.Wrap(err, "read file")
	}
	findings, err := c.validate(env, body)
	if err != nil {
		return err
	}
	return env.reportFindings(findings)
}

func (c *validateCommand) validate(env *environment, body []byte) (finding.List, error) {
	if c.Section == "" {
		return checkDocument(c.File, body), nil
	}
	if findings := checkJSON(c.File, body); len(findings) > 0 {
		return findings, nil
	}
	reader := control.NewReader(nil)
	if c.Log != "" {
		var err error
		if reader, err = (logArguments{Log: c.Log, Timeout: callTimeout}).openReader(env); err != nil {
			return nil, err
		}
	}
	verdict, err := reader.Check(newProposal(reader, c.Section, body, "validate", ""))
	return verdict.Findings, err
}

// reportFindings prints the findings. It returns an error with the exit code
// [ExitFindings] if there are any.
func (e *environment) reportFindings(findings finding.List) error {
	if findings == nil {
		findings = finding.List{}
	}
	err := e.printResult(validation{Valid: len(findings) == 0, Findings: findings}, func(w io.Writer) error {
		return writeFindings(w, findings)
	})
	if err != nil {
		return err
	}
	if len(findings) > 0 {
		return withExitCode(ExitFindings, eris.Errorf("%d findings", len(findings)))
	}
	return nil
}

func writeFindings(w io.Writer, findings finding.List) error {
	if len(findings) == 0 {
		_, err := fmt.Fprintln(w, "in order")
		return err
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(w, f.String()); err != nil {
			return err
		}
	}
	return nil
}

// newProposal returns a proposal to replace a section, based on the section's
// revision in the reader's document.
func newProposal(reader *control.Reader, section string, body []byte, author, reason string) config.Proposal {
	name := config.SectionName(section)
	return config.Proposal{
		Section: name,
		Base:    reader.Document().Base(name),
		Author:  author,
		Reason:  reason,
		Body:    body,
	}
}

// showCommand prints the document in force, or one section of it.
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

// Run prints the document or the section.
func (c *showCommand) Run(env *environment) error {
	reader, err := c.openReader(env)
	if err != nil {
		return err
	}
	doc := reader.Document()
	if c.Section == "" {
		return env.printResult(doc, func(w io.Writer) error { return writeDocument(w, doc) })
	}
	section, ok := doc.Sections[config.SectionName(c.Section)]
	if !ok {
		return eris.Errorf("section %q is not in force", c.Section)
	}
	return env.printResult(section, func(w io.Writer) error {
		fmt.Fprintf(env.err, "section %s, revision %d, author %s\n", c.Section, section.Revision, section.Author)
		_, err := fmt.Fprint(w, indentJSON(section.Body))
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

// indentJSON returns the value with sorted members, one per line, and a final
// newline. To a body that is not JSON it only adds the final newline.
func indentJSON(body json.RawMessage) string {
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
