package main

import (
	"bytes"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestSettingsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	printSettings(&want)
	if diff := cmp.Diff(want.String(), string(page)); diff != "" {
		t.Errorf("docs/SETTINGS.md is out of date; run make settings (-want +got):\n%s", diff)
	}
}

func TestExamplesAreValid(t *testing.T) {
	cases := map[string]string{
		"demo":       "../examples/demo.ini",
		"lantern":    "../examples/lantern.ini",
		"twisungane": "../examples/twisungane.ini",
	}
	for name, path := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if err := check(&out, path); err != nil {
				t.Error(err)
			}
		})
	}
}
