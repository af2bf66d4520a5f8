package main

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// templateFields returns fields with a value of each kind.
func templateFields() map[string]any {
	return map[string]any{
		"name": "front-1", "whole": 8, "fraction": 1.1, "large": 2000000.0, "zero": 0, "blank": "", "yes": true, "no": false, "null": nil,
		"marks":  `<a href="x">&{{name}}`,
		"ports":  []any{7600, 7615},
		"none":   []any{},
		"empty":  map[string]any{},
		"mixed":  []any{"a", []any{1, 2}, map[string]any{"k": true}, nil, false},
		"zones":  map[string]any{"z-b": "r-2", "z-a": "r-1"},
		"bounds": map[string]any{"grace_s": 8, "name": "of the bounds", "deep": map[string]any{"list": []any{map[string]any{"x": "y"}}}},
		"peers":  []any{map[string]any{"name": "p-0", "tags": []any{"s", "t"}}, map[string]any{"address": "a-1", "tags": []any{}, "no": true}},
		"rows":   []any{[]any{1, 2}, []any{3}},
	}
}

func TestRenderTemplate(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"no placeholder":                       {"a = b\n{ } }} {x}\n", "a = b\n{ } }} {x}\n"},
		"text":                                 {"{{name}}", "front-1"},
		"numbers":                              {"{{whole}} {{fraction}} {{large}} {{zero}}", "8 1.1 2000000 0"},
		"true and false":                       {"{{yes}} {{no}}", "true false"},
		"spaces in a placeholder":              {"{{ name }} {{ ports | json }} {{# yes }}y{{/ yes }}", "front-1 [7600,7615] y"},
		"path in a table":                      {"{{bounds.grace_s}}", "8"},
		"path in a list":                       {"{{ports.0}}-{{ports.1}}", "7600-7615"},
		"path through tables and lists":        {"{{bounds.deep.list.0.x}}", "y"},
		"no value":                             {"[{{absent}}{{null}}{{blank}}]", "[]"},
		"no value at a path":                   {"[{{bounds.absent}}{{absent.x}}{{name.x}}{{ports.2}}{{ports.-1}}{{ports.x}}]", "[]"},
		"list joined by commas":                {"{{ports}}", "7600,7615"},
		"empty list":                           {"[{{none}}]", "[]"},
		"list with lists and tables":           {"{{mixed}}", `a,1,2,{"k":true},,false`},
		"table as JSON":                        {"{{zones}}", `{"z-a":"r-1","z-b":"r-2"}`},
		"value as JSON":                        {"{{name|json}} {{whole|json}} {{no|json}} {{blank|json}}", `"front-1" 8 false ""`},
		"list as JSON":                         {"{{mixed|json}} {{none|json}}", `["a",[1,2],{"k":true},null,false] []`},
		"table as JSON, in words":              {"{{zones|json}}", `{"z-a":"r-1","z-b":"r-2"}`},
		"no value as JSON":                     {"[{{absent|json}}]", "[]"},
		"nothing is escaped":                   {"{{marks}}", `<a href="x">&{{name}}`},
		"nothing is escaped in JSON":           {"{{marks|json}}", `"<a href=\"x\">&{{name}}"`},
		"brace and space":                      {"{ {{name}}}", "{ front-1}"},
		"section over a list":                  {"{{#ports}}{{@}}={{.}};{{/ports}}", "0=7600;1=7615;"},
		"section over a table":                 {"[regions]\n{{#zones}}{{@}} = {{.}}\n{{/zones}}\n", "[regions]\nz-a = r-1\nz-b = r-2\n\n"},
		"commas between the entries of lists":  {"[{{#ports}}{{.}}{{,}}{{/ports}}]", "[7600,7615]"},
		"commas between the entries of tables": {"{ {{#zones}}{{@|json}}:{{.|json}}{{,}}{{/zones}}}", `{ "z-a":"r-1","z-b":"r-2"}`},
		"section over tables in a list":        {"{{#peers}}{{.|json}}{{/peers}}", `{"name":"p-0","tags":["s","t"]}{"address":"a-1","no":true,"tags":[]}`},
		"names in the entry first":             {"{{#peers}}{{name}}/{{address}} {{/peers}}{{name}}", "p-0/ front-1/a-1 front-1"},
		"section by a name in the entry":       {"{{#peers}}{{#no}}{{@}}{{/no}}{{/peers}}", "1"},
		"path in the entry first":              {"{{#bounds.deep.list}}{{x}} {{bounds.grace_s}}{{/bounds.deep.list}}", "y 8"},
		"section in a section":                 {"{{#peers}}{{@}}:{{#tags}}{{@}}{{.}}{{,}}{{/tags}}{{,}}{{/peers}}", "0:0s,1t,1:"},
		"section over the entry":               {"{{#rows}}<{{#.}}{{.}}{{,}}{{/.}}>{{/rows}}", "<1,2><3>"},
		"section of the same name inside":      {"{{#yes}}a{{#yes}}b{{/yes}}c{{/yes}}", "abc"},
		"section over true":                    {"{{#yes}}{{name}}{{/yes}}", "front-1"},
		"section over a value":                 {"{{#bounds.grace_s}}{{bounds.grace_s}}s{{/bounds.grace_s}}{{#zero}}z{{/zero}}{{#blank}}b{{/blank}}", "8szb"},
		"section without a value":              {"[{{#absent}}x{{/absent}}{{#no}}x{{/no}}{{#null}}x{{/null}}{{#none}}x{{/none}}{{#empty}}x{{/empty}}]", "[]"},
		"the entry around a condition":         {"{{#ports}}{{#yes}}{{@}}={{.}}{{,}}{{/yes}}{{/ports}}", "0=7600,1=7615"},
		"inverted section without a value":     {"{{^absent}}a{{/absent}}{{^null}}n{{/null}}{{^no}}f{{name}}{{/no}}", "anffront-1"},
		"inverted section with a value":        {"[{{^yes}}x{{/yes}}{{^name}}x{{/name}}{{^zero}}x{{/zero}}{{^ports}}x{{/ports}}{{^zones}}x{{/zones}}]", "[]"},
		"inverted section in the entry":        {"{{#peers}}{{^address}}{{@}}{{/address}}{{/peers}}", "0"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := renderTemplate(tc.text, templateFields())
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("unexpected text (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRenderTemplateOfAllFields(t *testing.T) {
	fields := map[string]any{"ip": "10.0.0.1", "ports": []any{1, 2}}
	cases := map[string]string{"{{.|json}}": `{"ip":"10.0.0.1","ports":[1,2]}`, "{{.}}": `{"ip":"10.0.0.1","ports":[1,2]}`, "{{#.}}{{@}}{{,}}{{/.}}": "ip,ports"}
	for text, want := range cases {
		t.Run(text, func(t *testing.T) {
			got, err := renderTemplate(text, fields)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("unexpected text (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRenderTemplateRefusesInvalidTemplates(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"placeholder without an end":  {"a {{name", "placeholder has no end: {{name"},
		"section without an end":      {"{{#yes}}x", "section yes has no end"},
		"sections that overlap":       {"{{#yes}}{{#ports}}{{/yes}}{{/ports}}", `{{/yes}} where section "ports" is open`},
		"end without a section":       {"{{/yes}}", `{{/yes}} where section "" is open`},
		"end without a name":          {"{{/}}", `{{/}} where section "" is open`},
		"section without a name":      {"{{#}}{{/}}", `invalid name of a section: ""`},
		"no name":                     {"{{}}", "unknown placeholder: {{}}"},
		"unknown form":                {"{{name|yaml}}", "unknown placeholder: {{name|yaml}}"},
		"unknown placeholder":         {"{{a b}}", "unknown placeholder: {{a b}}"},
		"brace before a placeholder":  {"{{{name}}}", "a brace immediately before a placeholder: {{{name}}}"},
		"key outside of a section":    {"{{@}}", "{{@}} outside of the entries of a section"},
		"comma outside of a section":  {"{{,}}", "{{,}} outside of the entries of a section"},
		"comma in a condition":        {"{{#yes}}{{,}}{{/yes}}", "{{,}} outside of the entries of a section"},
		"form in the name of section": {"{{#ports|json}}{{/ports|json}}", `invalid name of a section: "ports|json"`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := renderTemplate(tc.text, templateFields())
			if err == nil {
				t.Fatal("no error")
			}
			if diff := cmp.Diff(tc.want, err.Error()); diff != "" {
				t.Errorf("unexpected error (-want +got):\n%s", diff)
			}
		})
	}
}
