// Package inifile parses INI files, checks settings files against the declared
// settings of a program, and reports every fault with its file and line.
package inifile

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Fault is one error in a file together with its remedy.
type Fault struct {
	file    string
	line    int
	message string
}

// File returns the file's path.
func (f Fault) File() string { return f.file }

// Line returns the line number, counted from one, or zero if it is unknown.
func (f Fault) Line() int { return f.line }

// Message returns the description of the fault and its remedy.
func (f Fault) Message() string { return f.message }

// String returns "file:line: message".
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.file, f.line, f.message) }

// Faults is the error that lists all faults of a file.
type Faults struct {
	list []Fault
}

// List returns the faults sorted by line.
func (f *Faults) List() []Fault { return f.list }

// Error returns the faults as text, one per line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.list))
	for _, fault := range f.list {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed INI file: its sections and keys with their line numbers,
// and the faults found in it so far.
type Document struct {
	path   string
	file   *ini.File
	lineOf map[string]int // line number by "section" or "section\x00key"
	faults []Fault
}

// Parse parses the text of an INI file. The path is only used in faults. It
// returns a Faults error if the text is not valid INI or if a section or key
// occurs twice.
func Parse(path string, text []byte) (*Document, error) {
	doc := &Document{path: path, lineOf: make(map[string]int)}
	doc.indexLines(string(text))
	options := ini.LoadOptions{SkipUnrecognizableLines: true, KeyValueDelimiters: "=", IgnoreInlineComment: true}
	file, err := ini.LoadSources(options, text)
	if err != nil {
		doc.AddFault(0, "the file is not valid INI: %v", err)
		return nil, doc.Err()
	}
	doc.file = file
	return doc, doc.Err()
}

// Sections returns the names of all sections in file order.
func (d *Document) Sections() []string {
	var names []string
	for _, section := range d.file.SectionStrings() {
		if section != ini.DefaultSection {
			names = append(names, section)
		}
	}
	return names
}

// Keys returns the names of the keys of a section in file order.
func (d *Document) Keys(section string) []string {
	if !d.file.HasSection(section) {
		return nil
	}
	return d.file.Section(section).KeyStrings()
}

// Value returns the text of a key and whether the key is present.
func (d *Document) Value(section, key string) (string, bool) {
	if !d.file.HasSection(section) || !d.file.Section(section).HasKey(key) {
		return "", false
	}
	return d.file.Section(section).Key(key).String(), true
}

// Line returns the line number of a key, or of its section if the key is missing.
func (d *Document) Line(section, key string) int {
	if line, ok := d.lineOf[section+"\x00"+key]; ok {
		return line
	}
	return d.lineOf[section]
}

// AddFault records a fault at a line; zero means that the line is unknown.
func (d *Document) AddFault(line int, format string, args ...any) {
	d.faults = append(d.faults, Fault{file: d.path, line: line, message: fmt.Sprintf(format, args...)})
}

// Err returns all recorded faults as a Faults error, or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	list := slices.Clone(d.faults)
	slices.SortStableFunc(list, func(x, y Fault) int { return x.line - y.line })
	return errors.WithStack(&Faults{list: list})
}

// indexLines records the line numbers of sections and keys, which the INI
// library does not keep, and adds a fault for each line that the library would
// skip silently.
func (d *Document) indexLines(text string) {
	section := ""
	for i, line := range strings.Split(text, "\n") {
		number := i + 1
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = d.indexSection(number, line)
		default:
			d.indexKey(number, section, line)
		}
	}
}

func (d *Document) indexSection(number int, line string) string {
	if !strings.HasSuffix(line, "]") {
		d.AddFault(number, "section line does not end in ]; write [section]")
		return line
	}
	section := strings.TrimSpace(line[1 : len(line)-1])
	if first, ok := d.lineOf[section]; ok {
		d.AddFault(number, "section [%s] stands already at line %d; join the two", section, first)
		return section
	}
	d.lineOf[section] = number
	return section
}

func (d *Document) indexKey(number int, section, line string) {
	key, _, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if !found || key == "" {
		d.AddFault(number, "line is neither a section nor a setting; write key = value")
		return
	}
	if section == "" {
		d.AddFault(number, "key %q stands before the first section; move it below a [section] line", key)
		return
	}
	id := section + "\x00" + key
	if first, ok := d.lineOf[id]; ok {
		d.AddFault(number, "key %q stands already at line %d; keep one of them", key, first)
		return
	}
	d.lineOf[id] = number
}
