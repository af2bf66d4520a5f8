package supervisor

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/inifile"
)

func TestSettingsFileReload(t *testing.T) {
	const before = "[process]\nlog-level = info\nname = a\n"
	cases := map[string]struct {
		text    string
		changed bool
		level   logrus.Level
		wantLog string
	}{
		"unchanged":       {text: before, level: logrus.InfoLevel, wantLog: `next_start= `},
		"log level":       {text: "[process]\nlog-level = debug\nname = a\n", changed: true, level: logrus.DebugLevel, wantLog: "next_start=process.log-level"},
		"other setting":   {text: "[process]\nlog-level = info\nname = other\n", changed: true, level: logrus.InfoLevel, wantLog: "next_start=process.name"},
		"unknown setting": {text: "[process]\nlog-level = debug\nnome = other\n", changed: true, level: logrus.InfoLevel, wantLog: "settings are kept as they were"},
		"unknown level":   {text: "[process]\nlog-level = loud\nname = a\n", changed: true, level: logrus.InfoLevel, wantLog: "settings are kept as they were"},
	}
	program := Program{Settings: []inifile.Setting{
		inifile.NewSetting(inifile.SettingConfig{Section: "process", Key: "log-level", Kind: inifile.Text}),
		inifile.NewSetting(inifile.SettingConfig{Section: "process", Key: "name", Kind: inifile.Text}),
	}}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "local.ini")
			writeFile(t, path, before)
			settings, err := readSettings(path, program.Settings)
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			log := logrus.New()
			log.SetOutput(&out)
			file := newSettingsFile(path, program, settings, logrus.NewEntry(log))
			if tc.text != before {
				writeFile(t, path, tc.text)
			}
			if diff := cmp.Diff(tc.changed, file.Changed()); diff != "" {
				t.Errorf("changed (-want +got):\n%s", diff)
			}
			file.Reload()
			if diff := cmp.Diff(tc.level, log.GetLevel()); diff != "" {
				t.Errorf("level (-want +got):\n%s", diff)
			}
			if !strings.Contains(out.String()+" ", tc.wantLog) && !strings.Contains(strings.TrimSpace(out.String())+" ", tc.wantLog) {
				t.Errorf("log output %q lacks %q", out.String(), tc.wantLog)
			}
		})
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
