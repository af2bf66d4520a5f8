package fleetstate

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// EditConfig holds the construction parameters of an Edit and is its JSON form
// in the log.
type EditConfig struct {
	Section string   `json:"section"`          // kind and name, such as "model trail-writer"
	Lines   []string `json:"lines,omitempty"`  // settings of the section after the edit
	Remove  bool     `json:"remove,omitempty"` // removes the section
}

// Edit sets or removes one section of the inventory.
type Edit struct {
	config EditConfig
}

// NewEdit returns an edit.
func NewEdit(config EditConfig) Edit { return Edit{config: config} }

// Config returns the edit's JSON form.
func (e Edit) Config() EditConfig { return e.config }

// Section returns the kind and name of the section.
func (e Edit) Section() string { return e.config.Section }

// Lines returns the section's settings after the edit.
func (e Edit) Lines() []string { return e.config.Lines }

// Remove reports whether the section is removed.
func (e Edit) Remove() bool { return e.config.Remove }

// section is one section of an inventory's text, without comments.
type section struct {
	name  string
	lines []string
}

// splitSections returns the sections of a valid inventory text in order.
func splitSections(text string) []section {
	var sections []section
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			sections = append(sections, section{name: strings.TrimSpace(strings.Trim(line, "[]"))})
		case len(sections) > 0:
			last := &sections[len(sections)-1]
			key, value, _ := strings.Cut(line, "=")
			last.lines = append(last.lines, strings.TrimSpace(key)+" = "+strings.TrimSpace(value))
		}
	}
	return sections
}

func joinSections(sections []section) string {
	var text strings.Builder
	for _, s := range sections {
		text.WriteString("[" + s.name + "]\n")
		for _, line := range s.lines {
			text.WriteString(line + "\n")
		}
	}
	return text.String()
}

// DiffInventories returns the edits that turn the inventory from into to. It
// ignores comments and the order of sections.
func DiffInventories(from, to *Inventory) []Edit {
	before := make(map[string][]string)
	for _, s := range splitSections(from.text) {
		before[s.name] = s.lines
	}
	var edits []Edit
	for _, s := range splitSections(to.text) {
		lines, ok := before[s.name]
		if !ok || !slices.Equal(lines, s.lines) {
			edits = append(edits, NewEdit(EditConfig{Section: s.name, Lines: s.lines}))
		}
		delete(before, s.name)
	}
	for _, s := range splitSections(from.text) {
		if _, ok := before[s.name]; ok {
			edits = append(edits, NewEdit(EditConfig{Section: s.name, Remove: true}))
		}
	}
	return edits
}

// Section returns the settings of a section, without comments, or nil if the
// inventory has no such section.
func (i *Inventory) Section(name string) []string {
	for _, s := range splitSections(i.text) {
		if s.name == name {
			return append([]string{}, s.lines...)
		}
	}
	return nil
}

// WithEdits returns the inventory with the edits applied. The error lists the
// faults of the resulting text, located by path and line, or is ErrBadRecord if a
// section to remove does not exist.
func (i *Inventory) WithEdits(path string, edits []Edit) (*Inventory, error) {
	sections := splitSections(i.text)
	for _, edit := range edits {
		at := slices.IndexFunc(sections, func(s section) bool { return s.name == edit.config.Section })
		switch {
		case edit.config.Remove && at < 0:
			return nil, errors.Wrapf(ErrBadRecord, "no section [%s] to remove", edit.config.Section)
		case edit.config.Remove:
			sections = slices.Delete(sections, at, at+1)
		case at < 0:
			sections = append(sections, section{name: edit.config.Section, lines: edit.config.Lines})
		default:
			sections[at].lines = edit.config.Lines
		}
	}
	return ParseInventory(path, []byte(joinSections(sections)))
}
