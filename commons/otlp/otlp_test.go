package otlp_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sesamewell.example/commons/otlp"
	"sesamewell.example/commons/tracing"
)

func TestSpanProcessorExports(t *testing.T) {
	requests := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		requests <- r.URL.Path + " " + string(body)
	}))
	defer collector.Close()
	tracer := tracing.New(tracing.Config{Instance: "entry-1", Capacity: 1, Sampling: 100, Export: otlp.NewSpanProcessor(strings.TrimPrefix(collector.URL, "http://"))})
	tracer.Start(time.Unix(1, 0), "", "hop of the test").End(time.Unix(2, 0), "")
	if err := tracer.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	request := <-requests
	for _, part := range []string{"/v1/traces", "hop of the test", "entry-1"} {
		if !strings.Contains(request, part) {
			t.Errorf("export %q lacks %q", request, part)
		}
	}
}
