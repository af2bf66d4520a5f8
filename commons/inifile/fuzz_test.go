package inifile_test

import (
	"testing"

	"sesamewell.example/commons/inifile"
)

func FuzzParseSettings(f *testing.F) {
	seeds := map[string]string{
		"valid":      "[gate]\nlisten = 127.0.0.1:1\n",
		"no value":   "[gate]\nlisten =\n",
		"quotes":     "[gate]\nlisten = \"\"\"\n",
		"backslash":  "[gate]\nlisten = a\\\n",
		"no bracket": "[gate\nlisten = 1\n",
		"binary":     "\x00[\xff]\r=",
		"byte order": "\ufeff[gate]\nlisten = 1",
	}
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		values, err := inifile.ParseSettings("f.ini", text, testSettings())
		if err == nil && values.Address("gate", "listen") == "" {
			t.Errorf("%q was accepted without an address", text)
		}
	})
}
