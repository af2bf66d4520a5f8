package proxy

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"sesamewell.example/platform"
)

// FuzzReadHead reads heads of answers that arrive in two parts. It guards against an end of
// the process, more bytes used than there are, and a time or length that is none.
func FuzzReadHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nRetry-After: 1e400\r\nServer-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nRetry-After: -0x1p-2\r\nRetry-After: nan\r\n\r\n",
		"HTTP/1.1 503 \r\nRetry-After: 1_0\r\nserver-leaving:1\r\n\r\n",
		"HTTP/1.1 102 Wait\r\nServer-Leaving: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 421 No\r\nInstance-Id: i-9\r\nContent-Length: -7\r\n\r\n",
	} {
		f.Add([]byte(seed), len(seed)/2, false)
	}
	f.Fuzz(func(t *testing.T, text []byte, first int, headOnly bool) {
		a := &answer{}
		used := 0
		for _, end := range []int{min(max(first, 0), len(text)), len(text)} {
			n, err := a.readHead(text[used:end], headOnly, platform.HeaderCodec{})
			if err != nil || a.headRead {
				break
			}
			if used += n; n < 0 || used > end {
				t.Fatalf("%d bytes used of %d", used, end)
			}
		}
		if !a.headRead {
			return
		}
		wait := a.info.RetryAfter()
		if wait < 0 || wait > 0 && a.head.StatusCode() != fasthttp.StatusServiceUnavailable || a.remaining < 0 || a.info.IdleTimeout() < 0 {
			t.Errorf("status %d, time %v, %d bytes to come, %v idle", a.head.StatusCode(), wait, a.remaining, a.info.IdleTimeout())
		}
	})
}

// TestNoBytesOfHeadsAreLost guards against bytes between a blank line that ends with a bare LF
// and the next one: they were taken for part of the head and dropped.
func TestNoBytesOfHeadsAreLost(t *testing.T) {
	cases := map[string]struct{ text string }{
		"body behind a blank line of LF":          {text: "HTTP/1.1 200 OK\r\nContent-Length: 7\n\nabc\r\n\r\n"},
		"fields behind a blank line of LF and CR": {text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\n\r\nContent-Length: 3\r\n\r\nabc"},
		"answer behind an interim one":            {text: "HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := &answer{}
			if n, err := a.readHead([]byte(tc.text), false, platform.HeaderCodec{}); !errors.Is(err, errHead) {
				t.Errorf("%d bytes used, error %v, want %v", n, err, errHead)
			}
		})
	}
}

// TestLimitOfHeadsDoesNotDependOnSplits guards against a head beyond the limit that is taken if
// its end comes in one read with much else.
func TestLimitOfHeadsDoesNotDependOnSplits(t *testing.T) {
	cases := map[string]struct {
		size  int // without the blank line
		taken bool
	}{
		"largest":   {size: maxHead, taken: true},
		"too large": {size: maxHead + 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: "
			text += strings.Repeat("x", tc.size-len(text)) + "\r\n\r\n"
			for _, first := range []int{0, 1, maxHead - 1, maxHead, maxHead + 1, maxHead + 2, maxHead + 3, maxHead + 4} {
				a := &answer{}
				n, err := a.readHead([]byte(text[:first]), false, platform.HeaderCodec{})
				if err == nil {
					_, err = a.readHead([]byte(text[n:]), false, platform.HeaderCodec{})
				}
				if diff := cmp.Diff([]any{tc.taken, tc.taken}, []any{a.headRead, err == nil}); diff != "" {
					t.Errorf("split at %d: head read, no error (-want +got):\n%s%v", first, diff, err)
				}
			}
		})
	}
}
