package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

const (
	openTag   = "{{"
	closeTag  = "}}"
	jsonForm  = "json"
	entryName = "." // the current entry; all fields outside of sections
	keyName   = "@" // key or index of the current entry
)

// renderTemplate fills in a template of settings, as the platform does. Fields are
// tables (map[string]any), lists ([]any) and plain values. The entries of a table are
// taken in the order of their keys.
func renderTemplate(text string, fields map[string]any) (string, error) {
	p := &templateParser{rest: text}
	nodes, err := p.parse("")
	if err != nil {
		return "", err
	}
	var out strings.Builder
	if err := renderNodes(&out, nodes, &scope{entry: fields}); err != nil {
		return "", err
	}
	return out.String(), nil
}

// templateNode is a part of a parsed template.
type templateNode interface {
	render(out *strings.Builder, s *scope) error
}

func renderNodes(out *strings.Builder, nodes []templateNode, s *scope) error {
	for _, node := range nodes {
		if err := node.render(out, s); err != nil {
			return err
		}
	}
	return nil
}

// textNode is text that stays as it is.
type textNode string

func (n textNode) render(out *strings.Builder, _ *scope) error {
	out.WriteString(string(n))
	return nil
}

// commaNode is a comma after all entries of a section but the last.
type commaNode struct{}

func (commaNode) render(out *strings.Builder, s *scope) error {
	if s.outer == nil {
		return fmt.Errorf("{{,}} outside of the entries of a section")
	}
	if !s.last {
		out.WriteByte(',')
	}
	return nil
}

// valueNode is the value of a name.
type valueNode struct {
	name   string
	asJSON bool
}

func (n valueNode) render(out *strings.Builder, s *scope) error {
	if n.name == keyName && s.outer == nil {
		return fmt.Errorf("{{@}} outside of the entries of a section")
	}
	value := s.lookup(n.name)
	if value == nil {
		return nil
	}
	format := valueText
	if n.asJSON {
		format = valueJSON
	}
	text, err := format(value)
	out.WriteString(text)
	return err
}

// sectionNode is a section over the value of a name.
type sectionNode struct {
	name string
	body []templateNode
}

func (n sectionNode) render(out *strings.Builder, s *scope) error {
	switch value := s.lookup(n.name).(type) {
	case nil:
		return nil
	case bool:
		if !value {
			return nil
		}
		return renderNodes(out, n.body, s)
	case []any:
		for i, entry := range value {
			if err := renderNodes(out, n.body, &scope{outer: s, entry: entry, key: strconv.Itoa(i), last: i == len(value)-1}); err != nil {
				return err
			}
		}
		return nil
	case map[string]any:
		for i, key := range slices.Sorted(maps.Keys(value)) {
			if err := renderNodes(out, n.body, &scope{outer: s, entry: value[key], key: key, last: i == len(value)-1}); err != nil {
				return err
			}
		}
		return nil
	default:
		return renderNodes(out, n.body, s)
	}
}

// invertedNode is a section that is rendered without a value of its name.
type invertedNode struct {
	name string
	body []templateNode
}

func (n invertedNode) render(out *strings.Builder, s *scope) error {
	if value := s.lookup(n.name); value != nil && value != false {
		return nil
	}
	return renderNodes(out, n.body, s)
}

// scope is what names are resolved in: the current entry, then those around it.
type scope struct {
	outer *scope // nil for all fields
	entry any
	key   string
	last  bool
}

// lookup returns the value of a name, or nil without one.
func (s *scope) lookup(name string) any {
	switch name {
	case entryName:
		return s.entry
	case keyName:
		return s.key
	}
	path := strings.Split(name, ".")
	for ; s != nil; s = s.outer {
		if value := follow(s.entry, path); value != nil {
			return value
		}
	}
	return nil
}

// follow returns the value at a path of keys and indices, or nil without one.
func follow(value any, path []string) any {
	for _, part := range path {
		switch container := value.(type) {
		case map[string]any:
			value = container[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= len(container) {
				return nil
			}
			value = container[i]
		default:
			return nil
		}
	}
	return value
}

// valueText returns lists joined by commas, tables as JSON and strings as they are.
func valueText(value any) (string, error) {
	switch value := value.(type) {
	case nil:
		return "", nil
	case string:
		return value, nil
	case []any:
		texts := make([]string, 0, len(value))
		for _, entry := range value {
			text, err := valueText(entry)
			if err != nil {
				return "", err
			}
			texts = append(texts, text)
		}
		return strings.Join(texts, ","), nil
	default:
		return valueJSON(value)
	}
}

func valueJSON(value any) (string, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(value)
	return strings.TrimSuffix(out.String(), "\n"), err
}

// templateParser reads a template from its start to its end.
type templateParser struct {
	rest string
}

// parse reads up to the end of a section; up to the end of the template if the name of
// the section is empty.
func (p *templateParser) parse(section string) ([]templateNode, error) {
	var nodes []templateNode
	for {
		text, rest, found := strings.Cut(p.rest, openTag)
		nodes = append(nodes, textNode(text))
		if !found {
			if section != "" {
				return nil, fmt.Errorf("section %s has no end", section)
			}
			return nodes, nil
		}
		if strings.HasPrefix(rest, "{") {
			return nil, fmt.Errorf("a brace immediately before a placeholder: {{%.20s", rest)
		}
		tag, rest, found := strings.Cut(rest, closeTag)
		if !found {
			return nil, fmt.Errorf("placeholder has no end: {{%.20s", tag)
		}
		p.rest = rest
		tag = strings.TrimSpace(tag)
		if name, ok := strings.CutPrefix(tag, "/"); ok {
			if name = strings.TrimSpace(name); section == "" || name != section {
				return nil, fmt.Errorf("{{/%s}} where section %q is open", name, section)
			}
			return nodes, nil
		}
		node, err := p.parseNode(tag)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
}

// parseNode returns the node that begins with a tag, a section with all its content.
func (p *templateParser) parseNode(tag string) (templateNode, error) {
	if tag == "," {
		return commaNode{}, nil
	}
	if name, ok := strings.CutPrefix(tag, "#"); ok {
		name, body, err := p.parseSection(name)
		return sectionNode{name: name, body: body}, err
	}
	if name, ok := strings.CutPrefix(tag, "^"); ok {
		name, body, err := p.parseSection(name)
		return invertedNode{name: name, body: body}, err
	}
	name, form, formatted := strings.Cut(tag, "|")
	name, form = strings.TrimSpace(name), strings.TrimSpace(form)
	if !validName(name) || formatted && form != jsonForm {
		return nil, fmt.Errorf("unknown placeholder: {{%s}}", tag)
	}
	return valueNode{name: name, asJSON: formatted}, nil
}

func (p *templateParser) parseSection(name string) (string, []templateNode, error) {
	if name = strings.TrimSpace(name); !validName(name) {
		return "", nil, fmt.Errorf("invalid name of a section: %q", name)
	}
	body, err := p.parse(name)
	return name, body, err
}

// validName reports whether a name is that of the entry, of its key, or of a value by
// its path.
func validName(name string) bool {
	if name == entryName || name == keyName {
		return true
	}
	for part := range strings.SplitSeq(name, ".") {
		if part == "" || strings.ContainsAny(part, " \t\r\n{}#^/@,|") {
			return false
		}
	}
	return true
}
