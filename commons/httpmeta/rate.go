package httpmeta

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Range of the rates that a backend server is taken to name, in requests per second.
const (
	minRate = 1e-3
	maxRate = 1e6
)

// UnreadableRate stands for a rate that is named, but not as a decimal number.
const UnreadableRate = -1

// ParseRate returns the rate that a backend server names: zero if it names none, the least
// one if it takes no requests, and UnreadableRate if the text is not a decimal number.
func ParseRate(text string) float64 {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0
	}
	rate, err := strconv.ParseFloat(text, 64)
	if strings.Trim(text, ".0123456789") != "" || err != nil && !errors.Is(err, strconv.ErrRange) {
		return UnreadableRate
	}
	return min(max(rate, minRate), maxRate)
}
