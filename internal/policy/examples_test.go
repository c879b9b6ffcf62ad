package policy

import (
	"os"
	"testing"

	"github.com/stoatramp/stoatramp/internal/config"
)

// The example policies in examples/policies pass their own test cases.
func TestExamples(t *testing.T) {
	for _, name := range []string{"kalbarri", "norrvik"} {
		base := "../../examples/policies/" + name
		program, err := os.ReadFile(base + ".star")
		if err != nil {
			t.Fatal(err)
		}
		cases, err := os.ReadFile(base + "_test.star")
		if err != nil {
			t.Fatal(err)
		}
		if err := Check(&config.Policy{Name: name, Program: string(program), Cases: string(cases)}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
