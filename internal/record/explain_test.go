package record

import (
	"strings"
	"testing"
)

// expectStepSentence checks part of the sentence that describes a step.
func expectStepSentence(t *testing.T, s Step, want string) {
	t.Helper()
	if got := stepSentence(&s); !strings.Contains(got, want) {
		t.Errorf("expected %q in the sentence of a step, got %q", want, got)
	}
}

// The sentence distinguishes an engine that refused to reserve memory from an owner that did not grant it.
func TestNoRoomText(t *testing.T) {
	expectStepSentence(t, Step{Kind: StepNoRoom, Decode: "decode-3"}, "decode-3 refused to set memory aside")
	expectStepSentence(t, Step{Kind: StepNoRoom, Decode: "decode-3", Text: "box7"}, "Box box7, the home of decode-3, said that it has no room")
}
