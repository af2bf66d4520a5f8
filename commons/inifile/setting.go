package inifile

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is the type of the value of a setting.
type Kind uint8

// Kinds of setting values.
const (
	Text     Kind = iota // any text
	Address              // IP:port
	Duration             // time span such as 250ms, 10s or 2m
	Integer              // whole number
	Bytes                // number of bytes, optionally with the unit KiB, MiB, GiB or TiB; fractions of a byte are dropped
	Bool                 // yes or no
	List                 // comma-separated list
	Decimal              // decimal number of zero or more, such as 0.25
	Table                // text for each key of a section, whose keys are not declared
)

var kindForms = map[Kind]string{
	Text: "text", Address: "IP:port", Duration: "duration", Integer: "number",
	Bytes: "bytes", Bool: "yes or no", List: "comma-separated list", Decimal: "decimal number", Table: "text for each key",
}

// SettingConfig holds the construction parameters of a Setting.
type SettingConfig struct {
	Section  string
	Key      string // for a Table, what its keys stand for
	Kind     Kind
	Default  string // value if the key is missing; empty if Required
	Min      string // smallest allowed value, written as a value of Kind; empty for no limit
	Max      string // largest allowed value, likewise
	Required bool
	Doc      string // description for the settings page and for faults
}

// Setting declares one key of a settings file.
type Setting struct {
	config SettingConfig
}

// NewSetting returns a setting.
func NewSetting(config SettingConfig) Setting { return Setting{config: config} }

// Section returns the name of the section.
func (s Setting) Section() string { return s.config.Section }

// Key returns the name of the key.
func (s Setting) Key() string { return s.config.Key }

// Form returns the form of the value as text, such as "duration".
func (s Setting) Form() string { return kindForms[s.config.Kind] }

// Default returns the text of the value that is used if the key is missing.
func (s Setting) Default() string { return s.config.Default }

// Doc returns the description of the setting.
func (s Setting) Doc() string { return s.config.Doc }

// Range returns the allowed range as text, or "any".
func (s Setting) Range() string {
	if s.config.Min == "" && s.config.Max == "" {
		return "any"
	}
	return s.config.Min + " to " + s.config.Max
}

// Values holds the checked settings of a program.
type Values struct {
	values map[string]any
}

// Text returns the value of a Text setting.
func (v *Values) Text(section, key string) string { return v.values[section+"."+key].(string) }

// Address returns the value of an Address setting as IP:port, or "" if unset.
func (v *Values) Address(section, key string) string { return v.values[section+"."+key].(string) }

// Duration returns the value of a Duration setting.
func (v *Values) Duration(section, key string) time.Duration {
	return time.Duration(v.values[section+"."+key].(int64))
}

// Integer returns the value of an Integer setting.
func (v *Values) Integer(section, key string) int { return int(v.values[section+"."+key].(int64)) }

// Bytes returns the value of a Bytes setting.
func (v *Values) Bytes(section, key string) int64 { return v.values[section+"."+key].(int64) }

// Bool returns the value of a Bool setting.
func (v *Values) Bool(section, key string) bool { return v.values[section+"."+key].(bool) }

// List returns the value of a List setting.
func (v *Values) List(section, key string) []string { return v.values[section+"."+key].([]string) }

// Table returns the values of a Table setting by key, without empty ones.
func (v *Values) Table(section, key string) map[string]string {
	return v.values[section+"."+key].(map[string]string)
}

// Decimal returns the value of a Decimal setting.
func (v *Values) Decimal(section, key string) float64 { return v.values[section+"."+key].(float64) }

// Differences returns the names, as section.key and sorted, of the settings whose
// values differ from those in other, which must have the same declarations.
func (v *Values) Differences(other *Values) []string {
	var names []string
	for name, value := range v.values {
		if !reflect.DeepEqual(value, other.values[name]) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ParseSettings parses the text of a settings file and checks it against the
// declared settings. On an error it returns all faults at once.
func ParseSettings(path string, text []byte, declared []Setting) (*Values, error) {
	doc, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	values := &Values{values: make(map[string]any)}
	for _, setting := range declared {
		values.values[setting.config.Section+"."+setting.config.Key] = doc.readValue(setting)
	}
	doc.addUnknownFaults(declared)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return values, nil
}

func (d *Document) readValue(setting Setting) any {
	config := setting.config
	if config.Kind == Table {
		return d.readTable(config.Section)
	}
	text, _ := d.Value(config.Section, config.Key)
	if text == "" {
		if config.Required {
			d.AddFault(d.Line(config.Section, config.Key), "[%s] needs the key %q: %s", config.Section, config.Key, config.Doc)
		}
		text = config.Default
	}
	line := d.Line(config.Section, config.Key)
	value, err := ParseValue(config.Kind, text)
	if err != nil {
		d.AddFault(line, "%s = %q: %v", config.Key, text, err)
		return value
	}
	if !withinRange(config, value) {
		d.AddFault(line, "%s = %q is out of range; give %s", config.Key, text, setting.Range())
	}
	return value
}

// readTable returns the values of all keys of a section that are not empty.
func (d *Document) readTable(section string) map[string]string {
	table := make(map[string]string)
	for _, key := range d.Keys(section) {
		if text, _ := d.Value(section, key); text != "" {
			table[key] = text
		}
	}
	return table
}

func (d *Document) addUnknownFaults(declared []Setting) {
	for _, section := range d.Sections() {
		for _, key := range d.Keys(section) {
			known := slices.ContainsFunc(declared, func(s Setting) bool {
				return s.config.Section == section && (s.config.Key == key || s.config.Kind == Table)
			})
			if !known {
				d.AddFault(d.Line(section, key), "[%s] has no setting %q; remove it or mend its name", section, key)
			}
		}
	}
}

// withinRange reports whether a value is in the setting's range. Values that are
// no numbers have none.
func withinRange(config SettingConfig, value any) bool {
	switch number := value.(type) {
	case int64:
		return between(config, number)
	case float64:
		return between(config, number)
	default:
		return true
	}
}

func between[T int64 | float64](config SettingConfig, number T) bool {
	if low, err := ParseValue(config.Kind, config.Min); config.Min != "" && err == nil && number < low.(T) {
		return false
	}
	if high, err := ParseValue(config.Kind, config.Max); config.Max != "" && err == nil && number > high.(T) {
		return false
	}
	return true
}

// ParseValue reads text as a value of the given kind: a string for Text and
// Address, an int64 for Integer, Bytes and Duration (nanoseconds), a bool for
// Bool, a []string for List and a float64 for Decimal. On an error it returns
// the zero value of the kind.
func ParseValue(kind Kind, text string) (any, error) {
	switch kind {
	case Address:
		return parseAddress(text)
	case Duration:
		return parseDuration(text)
	case Integer:
		return parseInteger(text)
	case Bytes:
		return parseBytes(text)
	case Bool:
		return parseBool(text)
	case List:
		return parseList(text), nil
	case Decimal:
		return parseDecimal(text)
	default:
		return text, nil
	}
}

func parseAddress(text string) (any, error) {
	if text == "" {
		return "", nil
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return "", fmt.Errorf("want an IP number and a port, such as 127.0.0.1:8080")
	}
	return text, nil
}

func parseDuration(text string) (any, error) {
	if text == "" {
		return int64(0), nil
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return int64(0), fmt.Errorf("want a time span with its unit, such as 250ms, 10s or 2m")
	}
	return int64(span), nil
}

func parseInteger(text string) (any, error) {
	if text == "" {
		return int64(0), nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return int64(0), fmt.Errorf("want a whole number")
	}
	return number, nil
}

func parseDecimal(text string) (any, error) {
	if text == "" {
		return 0.0, nil
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number < 0 || math.IsInf(number, 0) || math.IsNaN(number) {
		return 0.0, fmt.Errorf("want a number of zero or more, such as 0.25")
	}
	return number, nil
}

// maxBytes is the largest number of bytes that a setting can hold.
const maxBytes = 1 << 62

var byteUnits = map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "TiB": 1 << 40}

func parseBytes(text string) (any, error) {
	digits := strings.TrimSpace(text)
	scale := int64(1)
	for unit, size := range byteUnits {
		if rest, ok := strings.CutSuffix(digits, unit); ok {
			digits, scale = strings.TrimSpace(rest), size
		}
	}
	if digits == "" && text == "" {
		return int64(0), nil
	}
	if number, err := strconv.ParseInt(digits, 10, 64); err == nil && number >= 0 && number <= maxBytes/scale {
		return number * scale, nil
	}
	number, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(number >= 0 && number*float64(scale) < maxBytes) {
		return int64(0), fmt.Errorf("want a number of bytes, such as 4096, 16KiB or 80GiB")
	}
	return int64(number * float64(scale)), nil
}

// FormatBytes formats a number of bytes in the largest unit that fits, rounded
// to one decimal place if the number is not a multiple of that unit.
func FormatBytes(number int64) string {
	for _, unit := range []string{"TiB", "GiB", "MiB", "KiB"} {
		size := byteUnits[unit]
		if number >= size && number%size == 0 {
			return fmt.Sprintf("%d%s", number/size, unit)
		}
		if number >= size {
			return fmt.Sprintf("%.1f%s", float64(number)/float64(size), unit)
		}
	}
	return strconv.FormatInt(number, 10)
}

func parseBool(text string) (any, error) {
	switch text {
	case "yes":
		return true, nil
	case "no", "":
		return false, nil
	default:
		return false, fmt.Errorf("want yes or no")
	}
}

func parseList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
