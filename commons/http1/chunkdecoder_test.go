package http1_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/http1"
)

// TestChunkDecoder guards against bodies in chunked coding whose framing has two meanings, and
// against trailers that are no fields.
func TestChunkDecoder(t *testing.T) {
	type result struct {
		Body         string
		Done, Failed bool
	}
	cases := map[string]struct {
		text string
		want result
	}{
		"chunks":                     {text: "2\r\nhi\r\n00A\r\n0123456789\r\n0\r\n\r\n", want: result{Body: "hi0123456789", Done: true}},
		"extensions":                 {text: "2 ;a=\"b\"\t\r\nhi\r\n0;c\r\n\r\n", want: result{Body: "hi", Done: true}},
		"trailer":                    {text: "0\r\nA: b\r\nC:\r\n\r\n", want: result{Done: true}},
		"not whole":                  {text: "2\r\nh", want: result{Body: "h"}},
		"no size":                    {text: "\r\n", want: result{Failed: true}},
		"size with a sign":           {text: "+2\r\nhi\r\n", want: result{Failed: true}},
		"size with a prefix":         {text: "0x2\r\nhi\r\n", want: result{Failed: true}},
		"size below zero":            {text: "-2\r\nhi\r\n", want: result{Failed: true}},
		"blank before the size":      {text: " 2\r\nhi\r\n", want: result{Failed: true}},
		"blank behind the size":      {text: "2 \r\nhi\r\n", want: result{Failed: true}},
		"size that is too large":     {text: "80000000\r\n", want: result{Failed: true}},
		"size without CR":            {text: "2\nhi\r\n", want: result{Failed: true}},
		"CR in an extension":         {text: "2;a\rb\r\nhi\r\n", want: result{Failed: true}},
		"chunk longer than its size": {text: "1\r\nhi\r\n", want: result{Body: "h", Failed: true}},
		"end of a chunk without CR":  {text: "2\r\nhi\n", want: result{Body: "hi", Failed: true}},
		"trailer with a blank":       {text: "0\r\nX Odd: 1\r\n\r\n", want: result{Failed: true}},
		"trailer without a colon":    {text: "0\r\nodd\r\n\r\n", want: result{Failed: true}},
		"trailer, control byte":      {text: "0\r\nA: \x00\r\n\r\n", want: result{Failed: true}},
		"blank line without CR":      {text: "0\r\n\n", want: result{Failed: true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var decoder http1.ChunkDecoder
			var got result
			for rest := []byte(tc.text); len(rest) > 0 && !got.Done && !got.Failed; {
				data, used, err := decoder.Next(rest)
				if err == nil && used == 0 {
					break
				}
				rest = rest[used:]
				got.Body, got.Done, got.Failed = got.Body+string(data), decoder.Done(), err != nil
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
		})
	}
}
