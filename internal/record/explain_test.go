package record

import (
	"strings"
	"testing"
)

// expectStepSentence expects that the sentence that describes a step contains want.
func expectStepSentence(t *testing.T, s Step, want string) {
	t.Helper()
	if got := stepSentence(&s); !strings.Contains(got, want) {
		t.Errorf("expected %q in the sentence of a step, got %q", want, got)
	}
}

// An engine's owner is the box that grants the engine's memory to the other boxes. The sentence says who refused to
// reserve memory: the engine itself or the engine's owner.
func TestNoRoomText(t *testing.T) {
	expectStepSentence(t, Step{Kind: StepNoRoom, Decode: "decode-3"}, "decode-3 refused to set memory aside")
	expectStepSentence(t, Step{Kind: StepNoRoom, Decode: "decode-3", Text: "box7"}, "Box box7, the home of decode-3, said that it has no room")
}
