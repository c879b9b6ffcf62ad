package record

import (
	"strings"
	"testing"
)

// expectStep checks what an operator reads of a step.
func expectStep(t *testing.T, s Step, want string) {
	t.Helper()
	if got := sentence(&s); !strings.Contains(got, want) {
		t.Errorf("expected %q in the text of a step, got %q", want, got)
	}
}

// Memory that an engine refused is told apart from room that its home did not grant.
func TestNoRoomText(t *testing.T) {
	expectStep(t, Step{Kind: StepNoRoom, Decode: "decode-3"}, "decode-3 refused to set memory aside")
	expectStep(t, Step{Kind: StepNoRoom, Decode: "decode-3", Text: "box7"}, "Box box7, the home of decode-3, said that it has no room")
}
