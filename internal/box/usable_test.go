package box

import (
	"slices"
	"strings"
	"testing"

	"github.com/stoatramp/stoatramp/internal/relay"
)

// listOf returns rows by a text: each names an endpoint's ID, its service, and "+" if it says when it started, or "!" if it is foreign.
func listOf(text string) map[string]listedEndpoint {
	rows := map[string]listedEndpoint{}
	for _, row := range strings.Fields(text) {
		id, service, _ := strings.Cut(strings.TrimRight(row, "+!"), "/")
		l := listedEndpoint{endpoint: relay.Endpoint{ID: id, Service: service}, foreign: strings.HasSuffix(row, "!")}
		if strings.HasSuffix(row, "+") {
			l.endpoint.Started = 1
		}
		rows[id] = l
	}
	return rows
}

func expectUsable(t *testing.T, rows map[string]listedEndpoint, want string) {
	t.Helper()
	var got []string
	for _, e := range usable(rows) {
		got = append(got, e.ID)
	}
	slices.Sort(got)
	if s := strings.Join(got, " "); s != want {
		t.Errorf("expected %q to be used, got %q", want, s)
	}
}

// Guards against a row of another program that ends all service, since it says when it started and the endpoints don't.
func TestForeignRowWithAStartLeavesOutNoEndpoint(t *testing.T) {
	expectUsable(t, listOf("a/llm b/llm c/desk other/night-batch+"), "a b c other")
	expectUsable(t, listOf("a/llm b/llm c/desk other/llm+"), "a b c other")
	expectUsable(t, listOf("a/llm other/llm+"), "a other")
	expectUsable(t, listOf("a/llm b/llm other/desk!"), "a b")
}

func TestRowWithoutAStartAmongEndpointsThatStateIt(t *testing.T) {
	expectUsable(t, listOf("a/llm+ b/llm+ other/llm c/desk"), "a b c")
	expectUsable(t, listOf("a/llm+ b/llm+ other/llm! c/desk+"), "a b c")
}

// Guards against sound endpoints that are left out while software that states the start is rolled out.
func TestRolloutOfSoftwareThatStatesTheStart(t *testing.T) {
	rows := listOf("a/llm b/llm c/llm d/llm")
	expectUsable(t, rows, "a b c d")
	for _, id := range []string{"a", "b", "c"} {
		l := rows[id]
		l.endpoint.Started = 1
		rows[id] = l
		expectUsable(t, rows, "a b c d")
	}
	rows["other"] = listOf("other/llm")["other"]
	expectUsable(t, rows, "a b c d")
}
