package stoatramp

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const module = "github.com/stoatramp/stoatramp/"

// readLayers reads the layer of each package from the table in docs/architecture.md.
func readLayers(t *testing.T) map[string]int {
	t.Helper()
	text, err := os.ReadFile("docs/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(`(?m)^\| (\d), [^|]*\| (.*) \|$`)
	layers := map[string]int{}
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		for name := range strings.SplitSeq(m[2], ", ") {
			layers[strings.Trim(name, "`")] = n
		}
	}
	return layers
}

// moduleImports returns which packages of this module each of its packages imports, without tests.
func moduleImports(t *testing.T) map[string]map[string]bool {
	t.Helper()
	imports := map[string]map[string]bool{}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		dir := filepath.ToSlash(filepath.Dir(path))
		if imports[dir] == nil {
			imports[dir] = map[string]bool{}
		}
		for _, s := range f.Imports {
			if name, ours := strings.CutPrefix(strings.Trim(s.Path.Value, `"`), module); ours {
				imports[dir][name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return imports
}

// Every package is listed in the table and imports only from lower layers.
func TestLayers(t *testing.T) {
	layers, imports := readLayers(t), moduleImports(t)
	for name := range layers {
		if imports[name] == nil {
			t.Errorf("%s is listed in docs/architecture.md but is not a package", name)
		}
	}
	for name, list := range imports {
		if _, listed := layers[name]; !listed {
			t.Errorf("%s is missing from the table in docs/architecture.md", name)
		}
		for other := range list {
			if layers[other] >= layers[name] {
				t.Errorf("%s in layer %d imports %s in layer %d, which is not lower", name, layers[name], other, layers[other])
			}
			if other == "platform" && name != "cmd/stoatrampd" {
				t.Errorf("%s imports platform, which only cmd/stoatrampd may do", name)
			}
		}
	}
}
