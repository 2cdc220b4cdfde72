package servicefile

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

const referencePage = "../docs/operators/service-file.md"

// The reference page must list every field of File and no other field.
func TestReferencePageListsEveryField(t *testing.T) {
	page, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	fields := []string{"key"}
	fields = appendFields(fields, "", reflect.TypeOf(File{}))
	for _, field := range fields {
		if !strings.Contains(string(page), fmt.Sprintf("| `%s` | ", field)) {
			t.Errorf("%s does not list %s", referencePage, field)
		}
	}
	if rows := strings.Count(string(page), "\n| `"); rows != len(fields) {
		t.Errorf("%s lists %d fields, the file has %d", referencePage, rows, len(fields))
	}
}

func TestExampleOfThePageIsValid(t *testing.T) {
	page, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	var example strings.Builder
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "    ") && !strings.HasPrefix(line, "    parsley ") {
			example.WriteString(line[4:])
		}
	}
	if _, err := Parse("example", []byte(example.String())); err != nil {
		t.Error(err)
	}
}

func appendFields(fields []string, prefix string, t reflect.Type) []string {
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("yaml")
		typ := f.Type
		if typ.Kind() == reflect.Slice {
			name += "[]"
			typ = typ.Elem()
		}
		if typ.Kind() == reflect.Pointer {
			typ = typ.Elem()
		}
		if typ.Kind() == reflect.Struct {
			fields = appendFields(fields, name+".", typ)
			continue
		}
		fields = append(fields, name)
	}
	return fields
}
