package http1

import (
	"errors"
	"fmt"
)

// Rule names a rule for the heads of answers.
type Rule string

// The rules for the heads of answers, with the section that states them.
const (
	RuleLineEnd    Rule = "line_end"    // RuleLineEnd: each line ends in CR LF (RFC 9112, 2.2).
	RuleStatusLine Rule = "status_line" // RuleStatusLine: the first line is HTTP/1.0 or HTTP/1.1, a space, three digits, and either nothing or a space and a reason phrase (RFC 9112, 4).
	RuleStatusCode Rule = "status_code" // RuleStatusCode: the status is one of 100 to 599 (RFC 9110, 15).
	RuleUpgrade    Rule = "upgrade"     // RuleUpgrade: status 101 answers only a request for an upgrade, and none is ever sent (RFC 9110, 15.2.2).
	RuleFieldName  Rule = "field_name"  // RuleFieldName: a field begins with a token and a colon, with nothing between them (RFC 9110, 5.1; RFC 9112, 5.1).
	RuleFieldValue Rule = "field_value" // RuleFieldValue: a value has no control byte but tabs (RFC 9110, 5.5).
	RuleFolding    Rule = "folding"     // RuleFolding: no line continues the one before (RFC 9112, 5.2).
	RuleChunks     Rule = "chunks"      // RuleChunks: HTTP/1.0 has no Transfer-Encoding (RFC 9112, 6.1).
	RuleSize       Rule = "size"        // RuleSize: the heads of one answer on a Conn take 64 KiB at most; a limit of this package.
	RuleInterim    Rule = "interim"     // RuleInterim: at most 100 interim answers come before the final one; a limit of this package.
)

// maxQuotedBytes bounds how much of a line an ErrHead quotes.
const maxQuotedBytes = 64

// ErrHead reports that the head of an answer breaks a rule.
type ErrHead struct {
	Rule  Rule
	Line  string // Line holds the first bytes of the line that breaks the rule, as received.
	IsCut bool   // IsCut is set if the line is longer than Line.
}

func newErrHead(rule Rule, line []byte) *ErrHead {
	quoted := line[:min(len(line), maxQuotedBytes)]
	return &ErrHead{Rule: rule, Line: string(quoted), IsCut: len(quoted) < len(line)}
}

// Error implements error.
func (e *ErrHead) Error() string {
	rest := ""
	if e.IsCut {
		rest = "..."
	}
	return fmt.Sprintf("head of answer breaks rule %s: %q%s", e.Rule, e.Line, rest)
}

// IsMalformed reports whether err says that the head of an answer breaks a rule.
func IsMalformed(err error) bool {
	_, isMalformed := errors.AsType[*ErrHead](err)
	return isMalformed
}
