package tool

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/finding"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// checkJSON returns a finding with the line of the syntax error if the file is not
// exactly one JSON value.
func checkJSON(name string, body []byte) finding.List {
	var findings finding.List
	var value any
	err := json.Unmarshal(body, &value)
	if err == nil {
		return nil
	}
	line := "1"
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		end := min(max(syntax.Offset, 0), int64(len(body)))
		line = strconv.Itoa(1 + bytes.Count(body[:end], []byte("\n")))
	}
	findings.Add(name+":"+line, err.Error(), "write one JSON value")
	return findings
}

// checkDocument validates a whole document: an object with one member per section.
func checkDocument(name string, body []byte) finding.List {
	if findings := checkJSON(name, body); len(findings) > 0 {
		return findings
	}
	var sections map[config.SectionName]json.RawMessage
	if err := json.Unmarshal(body, &sections); err != nil {
		var findings finding.List
		findings.Add(name+":1", "must be an object with one member per section", "")
		return findings
	}
	doc := &config.Document{Revision: 1, Sections: map[config.SectionName]config.Section{}}
	for section, value := range sections {
		doc.Sections[section] = config.Section{Revision: 1, Author: "validate", Body: value}
	}
	return document.Validate(doc)
}
