package stoatramp

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// uncheckedHeads are functions and variables of net/http that read answers without a check of their heads.
var uncheckedHeads = []string{"ReadResponse", "DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm"}

// isHTTP reports whether an expression is a name of net/http.
func isHTTP(e ast.Expr, names ...string) bool {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	x, ok := s.X.(*ast.Ident)
	return ok && x.Name == "http" && slices.Contains(names, s.Sel.Name)
}

// Guards against a client of a box that reads answers without the check of their heads.
func TestClientsCheckHeads(t *testing.T) {
	// These are test doubles and load generators, and httphead itself.
	skipped := []string{"internal/httphead", "internal/bench", "internal/standin", "platform/standin", "platform/soak"}
	checked := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || slices.Contains(skipped, filepath.ToSlash(filepath.Dir(path))) {
			return err
		}
		set := token.NewFileSet()
		f, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		ok := map[ast.Node]bool{}
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				name, isSelector := n.Fun.(*ast.SelectorExpr)
				if isSelector && (name.Sel.Name == "NewTransport" || name.Sel.Name == "strict") && len(n.Args) > 0 {
					if u, isAddress := n.Args[0].(*ast.UnaryExpr); isAddress {
						ok[u.X] = true
						checked++
					}
				}
			case *ast.CompositeLit:
				if isHTTP(n.Type, "Transport") && !ok[n] {
					t.Errorf("%s: a Transport without the check of heads", set.Position(n.Pos()))
				}
				hasTransport := slices.ContainsFunc(n.Elts, func(e ast.Expr) bool {
					kv, isPair := e.(*ast.KeyValueExpr)
					if !isPair {
						return false
					}
					key, isName := kv.Key.(*ast.Ident)
					return isName && key.Name == "Transport"
				})
				if isHTTP(n.Type, "Client") && !hasTransport {
					t.Errorf("%s: a Client without the check of heads", set.Position(n.Pos()))
				}
			case *ast.SelectorExpr:
				if isHTTP(n, uncheckedHeads...) {
					t.Errorf("%s: http.%s reads heads without a check", set.Position(n.Pos()), n.Sel.Name)
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked == 0 {
		t.Error("expected transports with the check of heads")
	}
}
