package yamlfile

import (
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// File is a parsed YAML file.
type File struct {
	path string
	tree *ast.File
}

// Decode parses data, the content of the file at path, into out, a pointer to a
// struct that holds the defaults. Errors are of type Errors; path is used in them
// only.
func Decode(path string, data []byte, out any) (*File, error) {
	tree, err := parser.ParseBytes(data, 0)
	f := &File{path: path, tree: tree}
	if err != nil {
		return nil, Errors{f.decodeError(err)}
	}
	if fieldErr := f.checkStructure(); fieldErr != nil {
		return nil, Errors{fieldErr}
	}
	err = yaml.UnmarshalWithOptions(data, out, yaml.Strict(), yaml.CustomUnmarshaler(unmarshalDuration))
	if err != nil {
		return nil, Errors{f.decodeError(err)}
	}
	return f, nil
}

// checkStructure checks that the file contains exactly one document and no field
// without a value, which would overwrite the default with the zero value.
func (f *File) checkStructure() *FieldError {
	if len(f.tree.Docs) > 1 {
		return &FieldError{
			File:    f.path,
			Line:    f.tree.Docs[1].Start.Position.Line,
			Problem: "the file holds more than one YAML document",
			Remedy:  "keep one document in each file",
		}
	}
	if len(f.tree.Docs) == 0 || f.tree.Docs[0].Body == nil {
		return f.emptyFile()
	}
	null := f.find(func(n ast.Node) bool { return n.Type() == ast.NullType })
	if null == nil {
		return nil
	}
	if fieldOf(null) == "" {
		return f.emptyFile()
	}
	return &FieldError{
		File:    f.path,
		Line:    null.GetToken().Position.Line,
		Field:   fieldOf(null),
		Problem: "the field has no value",
		Remedy:  "write a value, or remove the field to use the default",
	}
}

func (f *File) emptyFile() *FieldError {
	return &FieldError{
		File:    f.path,
		Line:    1,
		Problem: "the file is empty",
		Remedy:  "write the fields that the reference under docs/operators lists",
	}
}

// Line returns the line of the field. If the file does not contain the field, it
// is the line of the innermost parent that the file contains, or 1.
func (f *File) Line(field string) int {
	for field != "" {
		if n := f.node(field); n != nil {
			return n.GetToken().Position.Line
		}
		field = parentField(field)
	}
	return 1
}

func (f *File) node(field string) ast.Node {
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return nil
	}
	n, err := path.FilterFile(f.tree)
	if err != nil || n == nil || n.GetToken() == nil {
		return nil
	}
	return n
}

func parentField(field string) string {
	if i := strings.LastIndexAny(field, ".["); i >= 0 {
		return field[:i]
	}
	return ""
}
