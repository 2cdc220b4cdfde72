package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

const referencePage = "../docs/operators/settings.md"

// The reference page must list every field with its default, and no others.
func TestReferencePageListsEveryField(t *testing.T) {
	page, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	fields := map[string]string{}
	leafFields(fields, "", reflect.ValueOf(*Defaults()))
	for field, value := range fields {
		row := fmt.Sprintf("| `%s` | %s |", field, value)
		if !strings.Contains(string(page), row) {
			t.Errorf("%s has no row that starts with %s", referencePage, row)
		}
	}
	if rows := strings.Count(string(page), "\n| `"); rows != len(fields) {
		t.Errorf("%s lists %d fields, the settings have %d", referencePage, rows, len(fields))
	}
}

// leafFields collects the fields of a struct and the text of their defaults.
func leafFields(out map[string]string, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		tag, option, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		name := prefix + tag
		if v.Field(i).Kind() == reflect.Struct {
			leafFields(out, name+".", v.Field(i))
			continue
		}
		out[name] = defaultText(v.Field(i), option == "omitempty")
	}
}

// defaultText returns the default as the reference page shows it: "required" for
// a field without a default, or "none" if such a field is optional.
func defaultText(v reflect.Value, optional bool) string {
	if d, ok := v.Interface().(time.Duration); ok {
		return "`" + shortDuration(d) + "`"
	}
	if v.Kind() == reflect.Slice || optional && v.IsZero() {
		return "none"
	}
	if v.IsZero() && v.Kind() != reflect.Bool {
		return "required"
	}
	return fmt.Sprintf("`%v`", v.Interface())
}

func shortDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
