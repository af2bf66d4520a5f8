package http1

import (
	"bytes"
	"strings"
)

// tokenMarks are the characters of a token beside letters and digits (RFC 9110, section
// 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

// ParseField returns the name and the value of a field line, without white space around the
// value (RFC 9112, section 5). It returns an ErrMalformed if the line is none.
func ParseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 {
		return nil, nil, malformed("field line without a name")
	}
	for _, c := range name {
		if !isTokenByte(c) {
			return nil, nil, malformed("name of a field with a byte that is not allowed")
		}
	}
	return name, bytes.Trim(value, " \t"), checkText(value)
}

func isTokenByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte(tokenMarks, c) >= 0
}

// checkText checks for control bytes, which neither a value nor a reason may hold (RFC 9110,
// section 5.5).
func checkText(text []byte) error {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return malformed("control byte in the head")
		}
	}
	return nil
}
