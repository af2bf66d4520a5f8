package frontend

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestUnusedTokens(t *testing.T) {
	const event = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
	cases := map[string]struct {
		parts []string // of a stream
		body  string   // of an answer that is not streamed
		want  int64
	}{
		"stream":                        {parts: []string{event + event, event + "data: [DONE]\n\n"}, want: 87},
		"stream in small parts":         {parts: []string{event[:3], event[3:20], event[20:] + event[:7], event[7:], "data: [DONE]\n", "\n"}, want: 88},
		"stream with a usage report":    {parts: []string{event, "data: {\"choices\":[],\"usage\":{\"completion_tokens\":40}}\n\n"}, want: 50},
		"comments and event names":      {parts: []string{": ping\n\n", "event: error\n"}, want: 90},
		"report above the maximum":      {parts: []string{"data: {\"usage\":{\"completion_tokens\":400}}\n\n"}, want: 0},
		"answer with a usage report":    {body: "{\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":30}}", want: 60},
		"answer without a usage report": {body: "{\"choices\":[]}", want: 0},
		"answer that is not JSON":       {body: "busy", want: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			u := tokenUsage{charged: 100, prompt: 10}
			for _, part := range tc.parts {
				u.countStream([]byte(part))
			}
			got := u.unusedByStream()
			if tc.parts == nil {
				got = u.unusedByBody([]byte(tc.body))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("unused tokens (-want +got):\n%s", diff)
			}
		})
	}
}
