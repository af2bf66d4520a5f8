package httpserver_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/memory"
)

// chunkLineLimit is the maximum length of a line of chunked coding in bytes.
const chunkLineLimit = 4 << 10

// verdict is what a reader makes of the bytes of a connection.
type verdict struct {
	Status int // of the refusal, zero if there is none
	Whole  bool
	Body   string
	Used   int // bytes that belong to the request
}

// readSplit passes text to a reader in pieces of given sizes, the rest in one piece.
func readSplit(reader *httpserver.RequestReader, text string, sizes []int) verdict {
	var got verdict
	var buffered []byte
	for i := 0; len(text) > 0; i++ {
		n := len(text)
		if i < len(sizes) {
			n = min(sizes[i], n)
		}
		buffered, text = append(buffered, text[:n]...), text[n:]
		used, err := reader.Read(buffered)
		if err != nil {
			return verdict{Status: httpserver.AsRefusal(err).Status()}
		}
		buffered = buffered[used:]
		got.Used += used
		if request := reader.Request(); request != nil {
			got.Whole, got.Body = true, string(request.Body())
			return got
		}
	}
	return got
}

func chunked(chunks ...string) string {
	var text strings.Builder
	text.WriteString("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, chunk := range chunks {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return text.String()
}

// TestEveryPrefixOfRequestIsIncompleteOrWhole splits requests at each byte. A chunked
// request got 400 if a read ended after the line of its last chunk.
func TestEveryPrefixOfRequestIsIncompleteOrWhole(t *testing.T) {
	cases := map[string]struct {
		text string
		body string
	}{
		"no body":                      {text: "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
		"fixed length":                 {text: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", body: "hello"},
		"chunks":                       {text: chunked("hello", " you", ""), body: "hello you"},
		"chunks that look like an end": {text: chunked("a\r\n0\r\n\r\n", "\r\n0\r\n", "0\r\n\r\n", ""), body: "a\r\n0\r\n\r\n\r\n0\r\n0\r\n\r\n"},
		"trailer":                      {text: strings.TrimSuffix(chunked("hello", ""), "\r\n") + "Checksum: 1\r\n\r\n", body: "hello"},
		"chunk extension":              {text: strings.Replace(chunked("hello", ""), "5\r\n", "5;a=b\r\n", 1), body: "hello"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for split := range len(tc.text) + 1 {
				whole := readSplit(httpserver.NewRequestReader(httpserver.RequestReaderConfig{MaxHeader: 1024, MaxBody: 1024}), tc.text+"GET", []int{split})
				if diff := cmp.Diff(verdict{Whole: true, Body: tc.body, Used: len(tc.text)}, whole); diff != "" {
					t.Errorf("split at %d (-want +got):\n%s", split, diff)
				}
				if split == len(tc.text) {
					continue
				}
				prefix := readSplit(httpserver.NewRequestReader(httpserver.RequestReaderConfig{MaxHeader: 1024, MaxBody: 1024}), tc.text[:split], nil)
				if diff := cmp.Diff([]any{0, false}, []any{prefix.Status, prefix.Whole}); diff != "" {
					t.Errorf("prefix of %d bytes (-want +got):\n%s", split, diff)
				}
			}
		})
	}
}

// TestVerdictDoesNotDependOnSplits reads random requests, sound ones and others, in one
// piece and in several.
func TestVerdictDoesNotDependOnSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SampledFrom([]string{
			"\r\n", "0", "0\r\n\r\n", "\r\n0\r\n", "a", "hello", "5\r\n", "\n", "\r", ";", "z", strings.Repeat("x", 40), strings.Repeat("x", chunkLineLimit/2),
			"1;" + strings.Repeat("e", chunkLineLimit), "1;" + strings.Repeat("e", chunkLineLimit-2) + "\nx\r\n", "0\r\nA: " + strings.Repeat("t", chunkLineLimit),
		})
		body := strings.Join(rapid.SliceOfN(piece, 0, 8).Draw(t, "body"), "")
		blank := strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"\r\n", "\n", "\r"}), 0, 3).Draw(t, "blank lines"), "")
		head := blank + "POST /a HTTP/1.1\r\nHost: a\r\n" + rapid.SampledFrom([]string{"", "Expect: 100-continue\r\n", "A:b\n", "A:b\n\n", "\n"}).Draw(t, "header line")
		var text string
		switch rapid.IntRange(0, 5).Draw(t, "framing") {
		case 0:
			text = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, rapid.IntRange(0, 120).Draw(t, "length"), body)
		case 1:
			text = blank + chunked(body, "")
		case 2:
			text = blank + chunked(body, body+"x", "")
		case 3:
			text = strings.TrimSuffix(chunked("hello", ""), "\r\n") + "A: " + body + "\r\n\r\n"
		case 4:
			text = strings.Replace(chunked("hello", ""), "5\r\n", "5;"+body+"\r\n", 1)
		default:
			text = head + "Transfer-Encoding: chunked\r\n\r\n" + body
		}
		config := httpserver.RequestReaderConfig{MaxHeader: 80, MaxBody: 100}
		want := readSplit(httpserver.NewRequestReader(config), text, nil)
		sizes := rapid.SliceOfN(rapid.OneOf(rapid.IntRange(1, 20), rapid.IntRange(1, 2*chunkLineLimit)), 0, 60).Draw(t, "sizes")
		if diff := cmp.Diff(want, readSplit(httpserver.NewRequestReader(config), text, sizes)); diff != "" {
			t.Fatalf("%q in pieces of %v (-want +got):\n%s", text, sizes, diff)
		}
	})
}

// TestLimitsDoNotDependOnSplits splits requests of the largest size, and of one byte more, at
// each byte. The limit on lines of chunked coding held only for those that came in pieces.
func TestLimitsDoNotDependOnSplits(t *testing.T) {
	const maxHeader = 200
	headOf := func(size int) string {
		head := "GET /a HTTP/1.1\r\nHost: a\r\nA: "
		return head + strings.Repeat("x", size-len(head)) + "\r\n\r\n"
	}
	extension := func(size int) string {
		return strings.Replace(chunked("hello", ""), "5\r\n", "5;"+strings.Repeat("e", size-3)+"\r\n", 1)
	}
	trailer := func(size int) string {
		return strings.TrimSuffix(chunked("hello", ""), "\r\n") + "A: " + strings.Repeat("t", size-4) + "\r\n\r\n"
	}
	cases := map[string]struct {
		text string
		want verdict
	}{
		"head":                {text: headOf(maxHeader), want: verdict{Whole: true, Used: maxHeader + 4}},
		"head, too large":     {text: headOf(maxHeader + 1), want: verdict{Status: 431}},
		"extension":           {text: extension(chunkLineLimit), want: verdict{Whole: true, Body: "hello", Used: len(extension(chunkLineLimit))}},
		"extension, too long": {text: extension(chunkLineLimit + 1), want: verdict{Status: 400}},
		"trailer":             {text: trailer(chunkLineLimit), want: verdict{Whole: true, Body: "hello", Used: len(trailer(chunkLineLimit))}},
		"trailer, too long":   {text: trailer(chunkLineLimit + 1), want: verdict{Status: 400}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for split := range len(tc.text) + 1 {
				got := readSplit(httpserver.NewRequestReader(httpserver.RequestReaderConfig{MaxHeader: maxHeader, MaxBody: 1024}), tc.text, []int{split})
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Fatalf("split at %d of %d (-want +got):\n%s", split, len(tc.text), diff)
				}
			}
		})
	}
}

// TestHeadsUpToTheLimitAreTaken guards against heads within the limit that get 400 because the
// parser's buffer is smaller.
func TestHeadsUpToTheLimitAreTaken(t *testing.T) {
	cases := map[string]struct{ limit int }{
		"smaller than the default": {limit: 1 << 10},
		"the default":              {limit: httpserver.DefaultMaxHeader},
		"larger than the default":  {limit: 4 * httpserver.DefaultMaxHeader},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			head := "GET /a HTTP/1.1\r\nHost: a\r\nA: "
			for size, want := range map[int]int{tc.limit: 0, tc.limit + 1: 431} {
				text := head + strings.Repeat("x", size-len(head)) + "\r\n\r\n"
				got := readSplit(httpserver.NewRequestReader(httpserver.RequestReaderConfig{MaxHeader: tc.limit, MaxBody: 1024}), text, nil)
				if diff := cmp.Diff([]any{want, want == 0}, []any{got.Status, got.Whole}); diff != "" {
					t.Errorf("status and whole with %d bytes (-want +got):\n%s", size, diff)
				}
			}
		})
	}
}

// TestNoBytesOfHeadsAreLost guards against bytes between a blank line that ends with a bare LF
// and the next one: they were taken for part of the head and dropped.
func TestNoBytesOfHeadsAreLost(t *testing.T) {
	cases := map[string]struct{ text string }{
		"body behind a blank line of LF":          {text: "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\n\nabc\r\n\r\n"},
		"request behind a blank line of LF":       {text: "GET /a HTTP/1.1\r\nHost: a\n\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n"},
		"fields behind a blank line of LF and CR": {text: "GET /a HTTP/1.1\r\nHost: a\n\r\nContent-Length: 3\r\n\r\nabc"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := readSplit(httpserver.NewRequestReader(httpserver.RequestReaderConfig{MaxHeader: 1024, MaxBody: 1024}), tc.text, nil)
			if diff := cmp.Diff(verdict{Status: 400}, got); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnknownCodingIsRefused guards against a body that is taken for the next request: with a
// transfer coding other than chunked its end can't be told (RFC 9112, section 6.3).
func TestUnknownCodingIsRefused(t *testing.T) {
	const rest = "0\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n"
	cases := map[string]struct {
		fields string
		want   int // status of the refusal, zero if there is none
	}{
		"chunked":                      {fields: "Transfer-Encoding: Chunked\r\n"},
		"identity":                     {fields: "Transfer-Encoding: identity\r\n", want: 400},
		"identity, other letters":      {fields: "transfer-encodinG:IDENTITY\r\n", want: 400},
		"identity and a length":        {fields: "Transfer-Encoding: identity\r\nContent-Length: 30\r\n", want: 400},
		"a length and identity":        {fields: "Content-Length: 30\r\nTransfer-Encoding: identity\r\n", want: 400},
		"identity and chunked":         {fields: "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", want: 400},
		"chunked and identity":         {fields: "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", want: 400},
		"list with identity":           {fields: "Transfer-Encoding: identity, chunked\r\n", want: 400},
		"compressed":                   {fields: "Transfer-Encoding: gzip\r\n", want: 400},
		"compressed, then in chunks":   {fields: "Transfer-Encoding: gzip, chunked\r\n", want: 400},
		"none":                         {fields: "Transfer-Encoding:\r\n", want: 400},
		"blank before the colon":       {fields: "Transfer-Encoding : identity\r\n", want: 400},
		"folded":                       {fields: "Transfer-Encoding:\r\n identity\r\n", want: 400},
		"line end without CR":          {fields: "A: b\nTransfer-Encoding: identity\r\n", want: 400},
		"part of another field's name": {fields: "X-Transfer-Encoding: identity\r\nContent-Length: 0\r\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			text := "POST /a HTTP/1.1\r\nHost: a\r\n" + tc.fields + "\r\n" + rest
			got := readSplit(httpserver.NewRequestReader(httpserver.RequestReaderConfig{MaxHeader: 1024, MaxBody: 1024}), text, []int{len(text) - len(rest)})
			if diff := cmp.Diff(tc.want, got.Status); diff != "" {
				t.Errorf("status of the refusal (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBodiesAreChargedBeforeTheyAreHeld reads requests against an account with little room.
// Heads were in no account: parsed, one of 16 KiB can take some hundred.
func TestBodiesAreChargedBeforeTheyAreHeld(t *testing.T) {
	const limit = 1 << 20
	type outcome struct {
		Verdict verdict
		Charged int64 // while the request is open
		Left    int64 // after it
	}
	head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n"
	manyLines := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 180) + "\r\n"
	// withHead adds the cost of the head of a text: two copies, and some bytes for each line.
	withHead := func(text string, body int64) int64 {
		head, _, _ := strings.Cut(text, "\r\n\r\n")
		return body + 2*int64(len(head)+4) + 96*int64(strings.Count(head, "\n")+2)
	}
	cases := map[string]struct {
		text string
		held int64 // by others
		want outcome
	}{
		"room":                         {text: head, want: outcome{Verdict: verdict{Used: len(head)}, Charged: withHead(head, 600000)}},
		"no room":                      {text: head, held: 800000, want: outcome{Verdict: verdict{Status: 503}}},
		"chunks, room":                 {text: chunked(strings.Repeat("x", 5000), ""), want: outcome{Verdict: verdict{Whole: true, Body: strings.Repeat("x", 5000), Used: len(chunked(strings.Repeat("x", 5000), ""))}, Charged: withHead(chunked("", ""), 10000)}},
		"chunks, no room":              {text: chunked(strings.Repeat("x", 200000), ""), held: 800000, want: outcome{Verdict: verdict{Status: 503}}},
		"no body, no room":             {text: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", held: limit, want: outcome{Verdict: verdict{Whole: true, Used: 27}, Charged: withHead("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 0)}},
		"very many header lines":       {text: manyLines, want: outcome{Verdict: verdict{Whole: true, Used: len(manyLines)}, Charged: withHead(manyLines, 0)}},
		"no room for any head":         {text: manyLines, held: 2 * limit, want: outcome{Verdict: verdict{Status: 503}}},
		"small body beside large ones": {text: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi", held: 1000000, want: outcome{Verdict: verdict{Whole: true, Body: "hi", Used: 49}, Charged: withHead("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n", 4)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			account := memory.NewBudgetOf(limit)
			account.Charge("other", tc.held)
			reader := httpserver.NewRequestReader(httpserver.RequestReaderConfig{MaxHeader: 1024, MaxBody: 1 << 20, Account: account})
			got := outcome{Verdict: readSplit(reader, tc.text, nil)}
			if got.Charged = account.Total() - tc.held; got.Verdict.Status != 0 {
				got.Charged = 0
			}
			reader.Release()
			reader.Release()
			got.Left = account.Total() - tc.held
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}
