package docs

import (
	"go/ast"
	"go/doc"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// Every public package must have a package doc and a runnable Example with an
// output. Packages that export nothing, or only functions that take a value of
// package testing, need no Example.
func TestPublicPackagesAreDocumented(t *testing.T) {
	found := 0
	for _, dir := range packageDirs(t, "..") {
		pkg := parsePackage(t, dir)
		if pkg == nil {
			continue
		}
		found++
		t.Run(strings.TrimPrefix(dir, "../"), func(t *testing.T) { checkPackage(t, pkg) })
	}
	if found < minPackages {
		t.Errorf("only %d packages found; the test searches the wrong directory", found)
	}
}

// minPackages keeps the test from passing if it finds no packages.
const minPackages = 20

func checkPackage(t *testing.T, pkg *doc.Package) {
	if !strings.HasPrefix(pkg.Doc, "Package "+pkg.Name+" ") {
		t.Errorf("package doc %q does not begin with \"Package %s\"", pkg.Doc, pkg.Name)
	}
	if !callable(pkg) {
		return
	}
	if !hasRunnableExample(pkg) {
		t.Error("no Example with an output; add example_test.go")
	}
}

// packageDirs returns the directories below root that may hold a public package.
func packageDirs(t *testing.T, root string) []string {
	t.Helper()
	var dirs []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.IsDir() || path == root {
			return err
		}
		switch name := d.Name(); {
		case strings.HasPrefix(name, "."), name == "internal", name == "testdata", name == "cmd":
			return filepath.SkipDir
		}
		dirs = append(dirs, path)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return dirs
}

// parsePackage returns the documentation of the package in dir, or nil if dir has
// no Go files.
func parsePackage(t *testing.T, dir string) *doc.Package {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	fset := token.NewFileSet()
	var files []*ast.File
	for _, path := range paths {
		file, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	if len(files) == 0 {
		return nil
	}
	pkg, err := doc.NewFromFiles(fset, files, dir)
	if err != nil {
		t.Fatal(err)
	}
	return pkg
}

// callable reports whether pkg exports anything that an Example could call.
func callable(pkg *doc.Package) bool {
	for _, f := range pkg.Funcs {
		if !needsTesting(f) {
			return true
		}
	}
	for _, typ := range pkg.Types {
		for _, f := range typ.Funcs {
			if !needsTesting(f) {
				return true
			}
		}
	}
	return len(pkg.Vars) > 0 || len(pkg.Consts) > 0 || hasTypeWithoutConstructor(pkg)
}

// hasTypeWithoutConstructor reports whether pkg exports a type for which it has no
// constructor, so that an Example can create a value directly.
func hasTypeWithoutConstructor(pkg *doc.Package) bool {
	for _, typ := range pkg.Types {
		if len(typ.Funcs) == 0 {
			return true
		}
	}
	return false
}

// needsTesting reports whether f has a parameter of a type of package testing.
func needsTesting(f *doc.Func) bool {
	for _, param := range f.Decl.Type.Params.List {
		typ := param.Type
		if star, ok := typ.(*ast.StarExpr); ok {
			typ = star.X
		}
		if sel, ok := typ.(*ast.SelectorExpr); ok {
			if name, ok := sel.X.(*ast.Ident); ok && name.Name == "testing" {
				return true
			}
		}
	}
	return false
}

func hasRunnableExample(pkg *doc.Package) bool {
	examples := append([]*doc.Example(nil), pkg.Examples...)
	for _, f := range pkg.Funcs {
		examples = append(examples, f.Examples...)
	}
	for _, typ := range pkg.Types {
		examples = append(examples, typ.Examples...)
		for _, f := range append(append([]*doc.Func(nil), typ.Funcs...), typ.Methods...) {
			examples = append(examples, f.Examples...)
		}
	}
	for _, example := range examples {
		if example.Output != "" || example.EmptyOutput {
			return true
		}
	}
	return false
}
