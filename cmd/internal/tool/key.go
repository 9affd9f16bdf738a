package tool

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// hashKeyCommand hashes an API key for the accounts section.
type hashKeyCommand struct{}

// Help implements kong.HelpProvider.
func (hashKeyCommand) Help() string {
	return `Reads the key from standard input, so that it shows in no list of processes and in no
shell history, and prints the digest for "key_hashes".

Example:
  wigeonusher config hash-key < key.txt`
}

// keyDigest is the JSON output of the hash-key command.
type keyDigest struct {
	KeyHash string `json:"key_hash"`
}

// Run prints the hash of the first line of the input.
func (c *hashKeyCommand) Run(env *environment) error {
	line, err := bufio.NewReader(env.in).ReadString('\n')
	if err != nil && !eris.Is(err, io.EOF) {
		return eris.Wrap(err, "read key")
	}
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return withExitCode(ExitUsage, eris.New("the key is empty"))
	}
	digest := keyDigest{KeyHash: document.HashKey(key)}
	return env.printResult(digest, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, digest.KeyHash)
		return err
	})
}
