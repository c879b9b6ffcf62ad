package record

import (
	"fmt"
	"strings"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// Explain describes in plain sentences what happened to a request and why.
func Explain(r *Record) []string {
	out := []string{openingSentence(r)}
	for _, s := range r.Steps {
		out = append(out, offsetText(s.After)+" "+stepSentence(&s))
		out = append(out, candidateLines(s.Choice)...)
	}
	return append(out, closingSentence(r))
}

func offsetText(d time.Duration) string { return fmt.Sprintf("+%s:", roundDuration(d)) }

func roundDuration(d time.Duration) time.Duration {
	if d < 10*time.Millisecond {
		return d.Round(10 * time.Microsecond)
	}
	return d.Round(time.Millisecond)
}

func openingSentence(r *Record) string {
	caller := "A caller"
	switch {
	case r.Client != "":
		caller = "Client " + r.Client
	case r.Reason == outcome.UnknownKey:
		caller = "A caller without a known key"
	}
	s := fmt.Sprintf("%s called %s on box %s at %s", caller, r.Path, r.Box, r.At.UTC().Format(time.RFC3339Nano))
	if r.Route == "" {
		return s + "."
	}
	s += fmt.Sprintf("; route %s, configuration version %d", r.Route, r.ConfigVersion)
	if r.PromptTokens > 0 {
		s += fmt.Sprintf(", about %d prompt tokens, at most %d answer tokens", r.PromptTokens, r.MaxTokens)
	}
	if r.FirstTarget > 0 {
		s += fmt.Sprintf(", targets %s to the first token and %s between tokens", r.FirstTarget, r.GapTarget)
	}
	if r.Rule != "" {
		s += fmt.Sprintf("; policies of version %d, rule %s", r.PolicyVersion, r.Rule)
	}
	if !r.Repeatable {
		s += "; it may run at most once"
	}
	if r.Resumes != "" {
		s += "; it was to go on with the stream that began as " + r.Resumes
	}
	return s + "."
}

func stepSentence(s *Step) string {
	switch s.Kind {
	case StepPolicy:
		return fmt.Sprintf("The route's policy said: %s.", s.Text)
	case StepWait:
		return fmt.Sprintf("It waited on the box: %s.", waitText(s))
	case StepPrefill:
		return fmt.Sprintf("Attempt %d: engine %s was chosen to read the prompt and %s to write the answer; memory on %s was held first.",
			s.Attempt, s.Prefill, s.Decode, s.Decode)
	case StepPrefillDone:
		return fmt.Sprintf("%s had read the prompt, %d tokens of it from its cache.", s.Prefill, s.Tokens)
	case StepDecode:
		if s.Prefill == "" {
			return fmt.Sprintf("Attempt %d: engine %s was chosen to read the prompt itself and write the answer.", s.Attempt, s.Decode)
		}
		text := fmt.Sprintf("Attempt %d: %s was told to take the KV cache from %s.", s.Attempt, s.Decode, s.Prefill)
		if s.Reason != outcome.OK {
			text += fmt.Sprintf(" This is a move, because %s.", s.Reason.Sentence())
		}
		return text
	case StepRerun:
		why := "Its connection had been lost"
		if s.Reason == outcome.TransferStalled {
			why = "It had not begun to answer in time"
		}
		return fmt.Sprintf("Attempt %d: %s was told to run it again without a KV cache to fetch, because it may still have the prompt in its cache. %s: %s.",
			s.Attempt, s.Decode, why, s.Reason.Sentence())
	case StepNoRerun:
		return fmt.Sprintf("It was not run again on %s, which may still have the prompt in its cache: %s.", s.Decode, s.Text)
	case StepFirstToken:
		return fmt.Sprintf("%s sent the first token.", s.Decode+buildText(s.Build))
	case StepRetry:
		return fmt.Sprintf("The attempt on %s failed: %s. It was tried again.", s.Decode, s.Reason.Sentence())
	case StepResume:
		return fmt.Sprintf("The connection to %s was lost (%s) and the stream was resumed from chunk %d.", s.Decode, s.Reason.Sentence(), s.Tokens)
	case StepAbort:
		return fmt.Sprintf("%s was told to free what attempt %d held.", s.Decode, s.Attempt)
	case StepWastedPrefill:
		return fmt.Sprintf("%d tokens of prefill were thrown away: %s.", s.Tokens, s.Reason.Sentence())
	case StepEndpoint:
		return fmt.Sprintf("Endpoint %s was called%s.", s.Decode, seenText(s.EndpointState))
	case StepTunnel:
		return fmt.Sprintf("The call to %s went through box %s, because this box has no path of its own to it.", s.Decode, s.Text)
	case StepOrigin:
		by := "this box"
		if s.Text != "" {
			by = "box " + s.Text
		}
		return fmt.Sprintf("The stream began at build %s, as %s knew; only engines of that build may go on with it.", s.Build, by)
	case StepPlannedOrigin:
		how := "the store has kept its origin"
		switch {
		case s.Plan > 0:
			how = fmt.Sprintf("plan %d says so of its ID", s.Plan)
		case s.Text != "":
			how = fmt.Sprintf("box %s read its origin from the store", s.Text)
		}
		return fmt.Sprintf("No box knew where the stream began; %s: at build %s, and only engines of that build may go on with it.", how, s.Build)
	case StepBeginning:
		return fmt.Sprintf("Plan %d had it begin at build %s; %s.", s.Plan, s.Build, s.Text)
	case StepConnWait:
		return fmt.Sprintf("The call to %s waited %s that this box may open to it.", s.Decode, s.Text)
	case StepSlot:
		return slotText(s)
	case StepTrial:
		return fmt.Sprintf("It was sent on to find out whether a part of its prompt is quarantined wrongly: %s.", s.Text)
	case StepSuspected:
		return fmt.Sprintf("It waited for the verdict on a part of its prompt that may crash endpoints: %s.", s.Text)
	case StepFailed:
		if s.Text != "" {
			return fmt.Sprintf("The call to %s failed: %s (%s).", s.Decode, s.Reason.Sentence(), s.Text)
		}
		return fmt.Sprintf("The call to %s failed: %s.", s.Decode, s.Reason.Sentence())
	case StepMigrate:
		return fmt.Sprintf("Attempt %d: the stream was to be moved to %s, because %s.", s.Attempt, s.Decode, s.Text)
	case StepMigrated:
		return fmt.Sprintf("It went on at %s.", s.Decode+buildText(s.Build))
	case StepMigrationAborted:
		return fmt.Sprintf("It was not moved: %s.", s.Text)
	case StepMigrationAnswers:
		return fmt.Sprintf("The answers of %s to the request to move it: %s.", s.Decode, s.Text)
	case StepSourceEnded:
		return fmt.Sprintf("The answer of %s ended while the request to move it was not settled: %s.", s.Decode, s.Text)
	case StepNoRoom:
		if s.Text != "" {
			return fmt.Sprintf("Box %s, the home of %s, said that it has no room; nothing was sent yet, and the request was placed again.", s.Text, s.Decode)
		}
		return fmt.Sprintf("%s refused to set memory aside; nothing was sent yet, and it was placed again.", s.Decode)
	case StepYielded:
		return fmt.Sprintf("Box %s, the owner of %s, left its room to a request of a higher rank, a less loaded account or an earlier deadline; nothing was sent yet, and the request was placed again.", s.Text, s.Decode)
	}
	return string(s.Kind)
}

// buildText names an engine's build behind the engine's name.
func buildText(build string) string {
	if build == "" {
		return ""
	}
	return " (build " + build + ")"
}

func slotText(s *Step) string {
	if s.Slot == nil {
		return "A slot of the service's endpoints was asked for."
	}
	by := "box " + s.Slot.Owner
	if s.Slot.Owner == "" {
		by = "this box, by its own part of the slots, because no owner answered"
	}
	verdict, ahead := fmt.Sprintf("A slot of %s was granted by %s", s.Decode, by), "other requests were waiting"
	if s.Decode == "" {
		verdict, ahead = fmt.Sprintf("A slot was refused (%s) by %s", s.Text, by), "requests were ahead"
	}
	text := fmt.Sprintf("%s, after %d ms: %d %s and %d of %d slots in use; the last sign of contention was %d ms old. It was asked for in cell %d",
		verdict, s.Slot.WaitedMS, s.Slot.Ahead, ahead, s.Slot.InUse, s.Slot.Limit, s.Slot.AgeMS, s.Slot.Cell)
	if s.Slot.Account != "" {
		text += " for account " + s.Slot.Account
	}
	if s.Slot.Returning {
		text += ", by a caller that was refused before"
	}
	if s.Decode == "" && s.Slot.RetryMS > 0 {
		text += fmt.Sprintf("; a slot was expected after %d ms", s.Slot.RetryMS)
	}
	return text + "."
}

func seenText(s *EndpointState) string {
	if s == nil {
		return ""
	}
	return fmt.Sprintf(", the best of %d: %d calls of this box in progress, answers after %s on average, %d failures in a row; the list was heard of %s ago",
		s.Compared, s.Calls, roundDuration(s.Mean), s.Failures, roundDuration(s.ListAge))
}

func waitText(s *Step) string {
	role := "no prefill engine was free soon enough"
	if s.Reason == outcome.NoDecode {
		role = "no decode engine had room"
	}
	return fmt.Sprintf("%s, and %d requests were waiting", role, s.Tokens)
}

// candidateLines describes the compared pairs of a prefill and a decode engine, the chosen pair first.
func candidateLines(choice *decide.Choice) []string {
	if choice == nil {
		return nil
	}
	var out []string
	for i := range choice.Candidates {
		c := &choice.Candidates[i]
		verdict := "passed over"
		if i == 0 {
			verdict = "chosen, the lowest cost"
		}
		out = append(out, fmt.Sprintf("    %s -> %s: queue %s, read %s (%d cached), transfer %s, first token in %s, %s between tokens, %d tokens free, cost %.1f ms: %s.",
			c.Prefill, c.Decode, roundDuration(c.Queue), roundDuration(c.PrefillTime), c.Cached, roundDuration(c.Transfer), roundDuration(c.FirstToken), roundDuration(c.Step), c.FreeKV, c.Cost*1000, verdict))
	}
	if omitted := choice.Compared - len(choice.Candidates); omitted > 0 {
		out = append(out, fmt.Sprintf("    %d more pairs cost more.", omitted))
	}
	if text := exclusionsText(choice.Excluded); text != "" {
		out = append(out, "    Engines left out: "+text+".")
	}
	return out
}

func exclusionsText(excluded decide.Exclusions) string {
	var parts []string
	add := func(n int, what string) {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(excluded.Leaving, "leaving")
	add(excluded.SetAside, "set aside after failures")
	add(excluded.NoRoom, "without room")
	add(excluded.TooSlow, "too slow between tokens")
	add(excluded.Busy, "busy reading")
	add(excluded.Cold, "just started")
	return strings.Join(parts, ", ")
}

func closingSentence(r *Record) string {
	because := r.Reason.Sentence()
	if r.Detail != "" {
		because += ": " + r.Detail
	}
	switch r.Kind {
	case outcome.Answered:
		whole := " whole"
		if r.Framing == h1.CloseDelimited {
			whole = ""
		}
		s := fmt.Sprintf("Answered%s after %s", whole, roundDuration(r.Duration))
		if r.Output > 0 {
			s += fmt.Sprintf(": %d tokens, the first after %s, the longest gap %s", r.Output, roundDuration(r.FirstToken), roundDuration(r.LongestGap))
		}
		if r.Framing == h1.CloseDelimited {
			s += "; the endpoint gave it no length and ended it with its connection, and so did the box, so nothing shows that it is whole"
		}
		return s + "."
	case outcome.NotRun:
		return fmt.Sprintf("Refused after %s, and it did not run: %s.", roundDuration(r.Duration), because)
	case outcome.MayHaveRun:
		return fmt.Sprintf("Given up after %s, and it may have run: %s.", roundDuration(r.Duration), because)
	case outcome.CutOff:
		return fmt.Sprintf("Cut off after %s and %d tokens; the caller was told that the answer is not whole: %s.", roundDuration(r.Duration), r.Output, because)
	}
	return fmt.Sprintf("Cancelled after %s: %s.", roundDuration(r.Duration), because)
}
