package main

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// settingsOf returns the fields of a settings file as the platform knows them, with the
// bounds of the sheets.
func settingsOf(node, class, zone, ip string, ports ports, storeAddress string) map[string]any {
	return map[string]any{
		"node_name": node, "machine_class": class, "ip": ip, "zone": zone, "region": "kigali",
		"internal_port_range":   []any{ports.internal, ports.internal + 15},
		"bootstrap":             true,
		"heartbeat_interval_ms": 1200,
		"zones":                 map[string]any{"z1": "kigali", "z2": "kigali"},
		"listen_addresses": map[string]any{
			"front": fmt.Sprintf("%s:%d", ip, ports.front), "ready": fmt.Sprintf("%s:%d", ip, ports.ready),
		},
		"app":    fmt.Sprintf("%s:%d", ip, ports.app),
		"limits": map[string]any{"memory_mb": 284, "max_file_descriptors": 4100},
		"bounds": map[string]any{
			"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2,
			"budget_extra_retries": 52, "budget_window_s": 10, "origin_rate_overshoot": 1.1,
		},
		"platform": map[string]any{"address": storeAddress},
	}
}

// ports are the ports that all machines use.
type ports struct{ front, ready, app, internal int }

var placeholder = regexp.MustCompile(`\{\{([^{}]*)\}\}`)

// render fills in a settings template.
func render(template string, fields map[string]any, item any, key string) string {
	for {
		at := placeholder.FindStringSubmatchIndex(template)
		if at == nil {
			return template
		}
		name := template[at[2]:at[3]]
		if name == "" || name[0] != '#' && name[0] != '^' {
			value := text(lookup(name, fields, item, key))
			// What a value holds is not rendered again.
			return template[:at[0]] + value + render(template[at[1]:], fields, item, key)
		}
		closing := "{{/" + name[1:] + "}}"
		end := strings.Index(template[at[1]:], closing)
		if end < 0 {
			panic("section not closed: " + name)
		}
		inner, rest := template[at[1]:at[1]+end], template[at[1]+end+len(closing):]
		value := lookup(name[1:], fields, item, key)
		var out strings.Builder
		switch v := value.(type) {
		case nil:
			if name[0] == '^' {
				out.WriteString(render(inner, fields, item, key))
			}
		case map[string]any:
			for _, k := range sortedKeys(v) {
				out.WriteString(render(inner, fields, v[k], k))
			}
		default:
			if name[0] == '#' {
				out.WriteString(render(inner, fields, v, key))
			}
		}
		return template[:at[0]] + out.String() + render(rest, fields, item, key)
	}
}

func lookup(name string, fields map[string]any, item any, key string) any {
	switch name {
	case ".":
		return item
	case "@":
		return key
	}
	var value any = fields
	for _, part := range strings.Split(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []any:
			n, err := strconv.Atoi(part)
			if err != nil || n >= len(v) {
				return nil
			}
			value = v[n]
		default:
			return nil
		}
	}
	return value
}

func text(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case map[string]any, []any:
		encoded, _ := json.Marshal(v)
		return string(encoded)
	default:
		return fmt.Sprint(v)
	}
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	for i := range keys {
		for j := i + 1; j < len(keys); j++ {
			if keys[j] < keys[i] {
				keys[i], keys[j] = keys[j], keys[i]
			}
		}
	}
	return keys
}

// role is one role of the deploy file.
type role struct{ run, template string }

// readRole reads a role of deploy/system.toml.
func readRole(name string) (role, error) {
	content, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return role{}, err
	}
	_, section, ok := strings.Cut(string(content), "[roles."+name+"]")
	if !ok {
		return role{}, fmt.Errorf("deploy file has no role %s", name)
	}
	section, _, _ = strings.Cut(section, "\n[")
	field := func(key string) string {
		match := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindStringSubmatch(section)
		if match == nil {
			return ""
		}
		return match[1]
	}
	return role{run: field("run"), template: field("template")}, nil
}
