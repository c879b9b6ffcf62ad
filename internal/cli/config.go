package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pmezard/go-difflib/difflib"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

type configCmd struct {
	Get     configGetCmd     `cmd:"" help:"Print the accepted configuration, with its version in the first line."`
	Check   configCheckCmd   `cmd:"" help:"Check a file without applying it."`
	Diff    configDiffCmd    `cmd:"" help:"Show how a file differs from the accepted configuration."`
	Apply   configApplyCmd   `cmd:"" help:"Make a file the accepted configuration."`
	History configHistoryCmd `cmd:"" help:"List the accepted versions."`
}

// versionPrefix starts the first line of a configuration that "config get" prints. This line says which version the
// file is based on, and "config apply" reads it. So a file made from an old version cannot silently undo a newer one.
const versionPrefix = "# version "

func (a *app) fetch(version int64) (*v1.GetConfigResponse, error) {
	resp, err := a.client().GetConfig(context.Background(), connect.NewRequest(&v1.GetConfigRequest{Version: version}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

type configGetCmd struct {
	Version int64 `help:"The version to read; 0 means the accepted one."`
}

func (c *configGetCmd) Run(a *app) error {
	got, err := a.fetch(c.Version)
	if err != nil {
		return err
	}
	if done, err := a.printIfJSON(got); done {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s%d\n%s", versionPrefix, got.Version, got.Text)
	return err
}

// readConfig returns the text of a file and the version that the file is based on; 0 if the file does not say.
func readConfig(file string) (string, int64, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return "", 0, err
	}
	text := string(b)
	first, rest, _ := strings.Cut(text, "\n")
	number, ok := strings.CutPrefix(first, versionPrefix)
	if !ok {
		return text, 0, nil
	}
	base, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
	if err != nil || base < 1 {
		return "", 0, fmt.Errorf("%s:1: expected %q and a version number, found %q", file, versionPrefix, first)
	}
	return rest, base, nil
}

type configCheckCmd struct {
	File string `arg:"" help:"The configuration."`
}

func (c *configCheckCmd) Run(a *app) error {
	text, _, err := readConfig(c.File)
	if err != nil {
		return err
	}
	resp, err := a.client().CheckConfig(context.Background(), connect.NewRequest(&v1.CheckConfigRequest{Text: text}))
	if err != nil {
		return err
	}
	if done, err := a.printIfJSON(resp.Msg); done && err != nil {
		return err
	}
	if len(resp.Msg.Problems) > 0 {
		return problemsError(resp.Msg.Problems)
	}
	if !a.JSON {
		fmt.Fprintf(a.out, "%s: ok\n", c.File)
	}
	return nil
}

func problemsError(list []string) error {
	return &exitError{exitProblems, errors.New("the configuration has problems:\n" + strings.Join(list, "\n"))}
}

type configDiffCmd struct {
	File string `arg:"" help:"The configuration."`
}

func (c *configDiffCmd) Run(a *app) error {
	text, _, err := readConfig(c.File)
	if err != nil {
		return err
	}
	current, err := a.fetch(0)
	if err != nil {
		return err
	}
	out := diff(fmt.Sprintf("version %d", current.Version), current.Text, c.File, text)
	if a.JSON {
		return a.printValueAsJSON(configDiffJSON{current.Version, text != current.Text, out})
	}
	_, err = fmt.Fprint(a.out, out)
	return err
}

// configDiffJSON is the output of "config diff --json". Version is the accepted version. Here and below, versions are
// strings, as in the messages of a box.
type configDiffJSON struct {
	Version int64  `json:"version,string"`
	Differs bool   `json:"differs"`
	Diff    string `json:"diff"`
}

func diff(nameA, a, nameB, b string) string {
	out, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(a), FromFile: nameA,
		B: difflib.SplitLines(b), ToFile: nameB,
		Context: 2,
	})
	if err != nil {
		return err.Error() + "\n"
	}
	return out
}

type configApplyCmd struct {
	File   string `arg:"" help:"The configuration."`
	Base   int64  `help:"The version that the file is based on; read from its first line if not given."`
	Author string `help:"Author of the change; the current user if not given."`
}

func (c *configApplyCmd) Run(a *app) error {
	text, base, err := readConfig(c.File)
	if err != nil {
		return err
	}
	if c.Base > 0 {
		base = c.Base
	}
	if base == 0 && !a.noConfigYet() {
		return &exitError{exitUsage, fmt.Errorf("%s does not begin with %q and no --base is given: which version was it made from?", c.File, versionPrefix+"N")}
	}
	return a.apply(text, base, authorOrCurrentUser(c.Author))
}

// noConfigYet reports whether there is no accepted configuration. Only the first configuration may be applied without
// the version that it is based on.
func (a *app) noConfigYet() bool {
	_, err := a.fetch(0)
	return connect.CodeOf(err) == connect.CodeNotFound
}

// authorOrCurrentUser returns the given author, or else the name of the current user.
func authorOrCurrentUser(given string) string {
	if given != "" {
		return given
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// conflictError returns an error that shows what changed from the version base to the accepted version.
func (a *app) conflictError(base, current int64) error {
	text := ""
	then, errThen := a.fetch(base)
	now, errNow := a.fetch(0)
	if errThen == nil && errNow == nil {
		text = "; this was changed meanwhile:\n" + diff(fmt.Sprintf("version %d", base), then.Text, fmt.Sprintf("version %d", now.Version), now.Text)
	}
	return &exitError{exitConflict, fmt.Errorf("not accepted: the file was made from version %d, and version %d is accepted now%s", base, current, text)}
}

// reportAccepted prints whether the accepted version is in force on the boxes. If it is not in force on some boxes,
// reportAccepted returns an error that names these boxes.
func (a *app) reportAccepted(r *v1.ApplyConfigResponse) error {
	if len(r.Missing) > 0 {
		return &exitError{exitFailed, fmt.Errorf("accepted as version %d, but not in force after %d ms on: %s; they follow as soon as they can reach the table or a peer",
			r.Version, r.InForceMs, strings.Join(r.Missing, ", "))}
	}
	if r.Boxes == 0 && !a.JSON {
		// Only a gateway box reports the number of boxes. A relay box does not know the other boxes.
		fmt.Fprintf(a.out, "Accepted as version %d and in force on this box after %d ms; the others follow the store, and 'status' shows their version.\n", r.Version, r.InForceMs)
		return nil
	}
	if !a.JSON {
		fmt.Fprintf(a.out, "Accepted as version %d and in force on all live boxes (%d) after %d ms.\n", r.Version, r.Boxes, r.InForceMs)
	}
	return nil
}

type configHistoryCmd struct{}

func (c *configHistoryCmd) Run(a *app) error {
	resp, err := a.client().ConfigHistory(context.Background(), connect.NewRequest(&v1.ConfigHistoryRequest{}))
	if err != nil {
		return err
	}
	if done, err := a.printIfJSON(resp.Msg); done {
		return err
	}
	for _, v := range resp.Msg.Versions {
		fmt.Fprintf(a.out, "%d  %s  %s\n", v.Version, time.UnixMilli(v.AcceptedUnixMs).UTC().Format(time.RFC3339), v.Author)
	}
	return nil
}
