package frontend

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestUnusedTokens(t *testing.T) {
	const event = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
	cases := map[string]struct {
		pieces []string // of a stream
		body   string   // of a whole answer
		want   int64
	}{
		"stream":                  {pieces: []string{event + event, event + "data: [DONE]\n\n"}, want: 87},
		"stream in small pieces":  {pieces: []string{event[:3], event[3:20], event[20:] + event[:7], event[7:], "data: [DONE]\n", "\n"}, want: 88},
		"stream that counts":      {pieces: []string{event, "data: {\"choices\":[],\"usage\":{\"completion_tokens\":40}}\n\n"}, want: 50},
		"comments are no tokens":  {pieces: []string{": ping\n\n", "event: error\n"}, want: 90},
		"more than the maximum":   {pieces: []string{"data: {\"usage\":{\"completion_tokens\":400}}\n\n"}, want: 0},
		"whole answer":            {body: "{\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":30}}", want: 60},
		"whole answer, no count":  {body: "{\"choices\":[]}", want: 0},
		"whole answer, no object": {body: "busy", want: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := tokenUsage{charged: 100, prompt: 10}
			for _, piece := range tc.pieces {
				c.countStream([]byte(piece))
			}
			got := c.unusedByStream()
			if tc.pieces == nil {
				got = c.unusedByBody([]byte(tc.body))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("unused tokens (-want +got):\n%s", diff)
			}
		})
	}
}
