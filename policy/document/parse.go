package document

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/finding"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Parse decodes the sections of a document and validates them. Missing sections are
// empty. The contents are checked only if all sections are known and can be decoded. If
// there are findings, the policy is nil.
func Parse(doc *config.Document) (*Policy, finding.List) {
	var findings finding.List
	policy := &Policy{
		Revision: doc.Revision,
		Accounts: map[AccountID]Account{},
		Models:   map[ModelName]Model{},
		Rollouts: map[RolloutID]Rollout{},
		Pools:    map[platform.PoolName]Pool{},
		Services: map[ServiceName]Service{},
	}
	targets := map[config.SectionName]any{
		SectionAccounts:  &policy.Accounts,
		SectionModels:    &policy.Models,
		SectionRollouts:  &policy.Rollouts,
		SectionEndpoints: &policy.Pools,
		SectionServices:  &policy.Services,
		SectionRouting:   &policy.Routing,
	}
	for name, section := range doc.Sections {
		target, known := targets[name]
		if !known {
			findings.Add(pointer(name), "unknown section", "use one of accounts, models, rollouts, endpoints, services, routing")
			continue
		}
		if err := decodeStrict(section.Body, target); err != nil {
			findings.Add(decodeErrorPointer(name, err), err.Error(), "see the section's schema")
		}
	}
	if len(findings) == 0 {
		policy.check(&findings)
	}
	if len(findings) > 0 {
		findings.Sort()
		return nil, findings
	}
	policy.indexKeys()
	return policy, nil
}

// Validate implements [config.Validator] for the whole document.
func Validate(doc *config.Document) finding.List {
	_, findings := Parse(doc)
	return findings
}

// AccountForKey returns the account that owns an API key. It compares digests in a time
// that does not depend on the key.
func (p *Policy) AccountForKey(key string) (AccountID, bool) {
	digest := sha256.Sum256([]byte(key))
	var owner AccountID
	found := false
	for i := range p.accountKeys {
		if subtle.ConstantTimeCompare(digest[:], p.accountKeys[i].digest[:]) == 1 {
			owner, found = p.accountKeys[i].account, true
		}
	}
	return owner, found
}

// accountKey is the digest of an API key and the account that owns the key.
type accountKey struct {
	digest  [sha256.Size]byte
	account AccountID
}

// HashKey returns the hex SHA-256 digest of an API key, as stored in the document.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

func (p *Policy) indexKeys() {
	for id, account := range p.Accounts {
		for _, hash := range account.KeyHashes {
			key := accountKey{account: id}
			if n, err := hex.Decode(key.digest[:], []byte(hash)); err == nil && n == len(key.digest) {
				p.accountKeys = append(p.accountKeys, key)
			}
		}
	}
}

func decodeStrict(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

func decodeErrorPointer(name config.SectionName, err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return pointer(name, strings.Split(wrongType.Field, ".")...)
	}
	return pointer(name)
}

// pointer returns the JSON pointer of a value in the document.
func pointer(name config.SectionName, path ...string) string {
	var pointer strings.Builder
	pointer.WriteString("/" + string(name))
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	for _, token := range path {
		pointer.WriteString("/" + escape.Replace(token))
	}
	return pointer.String()
}

func index(i int) string { return strconv.Itoa(i) }
