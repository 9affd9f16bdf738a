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

// Parse checks a whole document and gives its sections their types. Missing
// sections are empty. All findings are returned together; with any, the
// policy is nil.
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
			findings.Add(place(name), "unknown section", "use one of accounts, models, rollouts, endpoints, services, routing")
			continue
		}
		if err := decodeStrict(section.Body, target); err != nil {
			findings.Add(decodePlace(name, err), err.Error(), "see the section's schema")
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

// Validate is the [config.Validator] of the whole document.
func Validate(doc *config.Document) finding.List {
	_, findings := Parse(doc)
	return findings
}

// AccountForKey returns the account that owns an API key. The key is compared
// by its digest, in a time that does not depend on the key.
func (p *Policy) AccountForKey(key string) (AccountID, bool) {
	digest := sha256.Sum256([]byte(key))
	var owner AccountID
	found := false
	for i := range p.keys {
		if subtle.ConstantTimeCompare(digest[:], p.keys[i].digest[:]) == 1 {
			owner, found = p.keys[i].account, true
		}
	}
	return owner, found
}

// accountKey is the digest of an API key with the account that owns it.
type accountKey struct {
	digest  [sha256.Size]byte
	account AccountID
}

// HashKey returns the hex SHA-256 digest of an API key, as kept in the document.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

func (p *Policy) indexKeys() {
	for id, account := range p.Accounts {
		for _, hash := range account.KeyHashes {
			key := accountKey{account: id}
			if n, err := hex.Decode(key.digest[:], []byte(hash)); err == nil && n == len(key.digest) {
				p.keys = append(p.keys, key)
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

func decodePlace(name config.SectionName, err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return place(name, strings.Split(wrongType.Field, ".")...)
	}
	return place(name)
}

// place returns the JSON pointer of a value in the document.
func place(name config.SectionName, path ...string) string {
	var pointer strings.Builder
	pointer.WriteString("/" + string(name))
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	for _, token := range path {
		pointer.WriteString("/" + escape.Replace(token))
	}
	return pointer.String()
}

func index(i int) string { return strconv.Itoa(i) }
