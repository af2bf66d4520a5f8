// Package handbook reads settings and other INI files and reports every fault
// with its file and line.
package inifile

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Fault is one mistake in a file, with what to do about it.
type Fault struct {
	file    string
	line    int
	message string
}

// File returns the file's path.
func (f Fault) File() string { return f.file }

// Line returns the line, counted from one, or zero when it is not known.
func (f Fault) Line() int { return f.line }

// Message returns the fault and its remedy.
func (f Fault) Message() string { return f.message }

// String returns "file:line: message".
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.file, f.line, f.message) }

// Faults is the error that lists all mistakes of a file.
type Faults struct {
	list []Fault
}

// List returns the faults in the order of their lines.
func (f *Faults) List() []Fault { return f.list }

// Error returns one line for each fault.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.list))
	for _, fault := range f.list {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Book is responsible for one INI file: its sections, the line of each key,
// and the faults found in it so far.
type Document struct {
	path   string
	file   *ini.File
	lineOf map[string]int // "section" or "section\x00key" to line
	faults []Fault
}

// Parse reads the text of an INI file. It returns a Faults error when the text
// is not in INI form or gives a section or key twice.
func Parse(path string, text []byte) (*Document, error) {
	book := &Document{path: path, lineOf: make(map[string]int)}
	book.indexLines(string(text))
	options := ini.LoadOptions{SkipUnrecognizableLines: true, KeyValueDelimiters: "=", IgnoreInlineComment: true}
	file, err := ini.LoadSources(options, text)
	if err != nil {
		book.AddFault(0, "the file is not valid INI: %v", err)
		return nil, book.Err()
	}
	book.file = file
	return book, book.Err()
}

// Sections returns the names of all sections in the order of the file.
func (b *Document) Sections() []string {
	var names []string
	for _, section := range b.file.SectionStrings() {
		if section != ini.DefaultSection {
			names = append(names, section)
		}
	}
	return names
}

// Keys returns the names of a section's keys in the order of the file.
func (b *Document) Keys(section string) []string {
	if !b.file.HasSection(section) {
		return nil
	}
	return b.file.Section(section).KeyStrings()
}

// Value returns the text of a key and whether the file has it.
func (b *Document) Value(section, key string) (string, bool) {
	if !b.file.HasSection(section) || !b.file.Section(section).HasKey(key) {
		return "", false
	}
	return b.file.Section(section).Key(key).String(), true
}

// Line returns the line of a key, or of the section when the key is missing.
func (b *Document) Line(section, key string) int {
	if line, ok := b.lineOf[section+"\x00"+key]; ok {
		return line
	}
	return b.lineOf[section]
}

// Report records a fault at a line.
func (b *Document) AddFault(line int, format string, args ...any) {
	b.faults = append(b.faults, Fault{file: b.path, line: line, message: fmt.Sprintf(format, args...)})
}

// Err returns all recorded faults as one error, or nil.
func (b *Document) Err() error {
	if len(b.faults) == 0 {
		return nil
	}
	list := slices.Clone(b.faults)
	slices.SortStableFunc(list, func(x, y Fault) int { return x.line - y.line })
	return errors.WithStack(&Faults{list: list})
}

// locate records where sections and keys stand, which the INI library does not
// keep, and reports the lines that it would pass over in silence.
func (b *Document) indexLines(text string) {
	section := ""
	for i, line := range strings.Split(text, "\n") {
		number := i + 1
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = b.indexSection(number, line)
		default:
			b.indexKey(number, section, line)
		}
	}
}

func (b *Document) indexSection(number int, line string) string {
	if !strings.HasSuffix(line, "]") {
		b.AddFault(number, "section line does not end in ]; write [section]")
		return line
	}
	section := strings.TrimSpace(line[1 : len(line)-1])
	if first, ok := b.lineOf[section]; ok {
		b.AddFault(number, "section [%s] stands already at line %d; join the two", section, first)
		return section
	}
	b.lineOf[section] = number
	return section
}

func (b *Document) indexKey(number int, section, line string) {
	key, _, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if !found || key == "" {
		b.AddFault(number, "line is neither a section nor a setting; write key = value")
		return
	}
	if section == "" {
		b.AddFault(number, "key %q stands before the first section; move it below a [section] line", key)
		return
	}
	id := section + "\x00" + key
	if first, ok := b.lineOf[id]; ok {
		b.AddFault(number, "key %q stands already at line %d; keep one of them", key, first)
		return
	}
	b.lineOf[id] = number
}
