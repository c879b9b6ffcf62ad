package cli

import (
	"cmp"
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/quarantine"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

type quarantineCmd struct {
	List quarantineListCmd `cmd:"" help:"List the parts of prompts and the requests that are sent to no endpoint because they crash endpoints."`
	Lift quarantineLiftCmd `cmd:"" help:"Have all boxes send a part of prompts or a request to endpoints again. It is quarantined again if it crashes endpoints again."`
}

type quarantineListCmd struct{}

func (c *quarantineListCmd) Run(a *app) error {
	resp, err := a.client().Quarantine(context.Background(), connect.NewRequest(&v1.QuarantineRequest{}))
	if err != nil {
		return err
	}
	if done, err := a.printIfJSON(resp.Msg); done {
		return err
	}
	if len(resp.Msg.Entries) == 0 {
		_, err := fmt.Fprintln(a.out, "Nothing is quarantined.")
		return err
	}
	return printTable(a.out, "KIND\tID\tSTATE\tFOR\tACCOUNT\tREQUESTS\tBITS\tCRASHED ENDPOINTS", resp.Msg.Entries, func(e *v1.QuarantineEntry) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d\t%.1f\t%s", e.Kind, e.Id, e.State, sinceText(e), cmp.Or(e.Account, "any"), e.Requests, e.Bits, strings.Join(e.Endpoints, " "))
	})
}

func sinceText(e *v1.QuarantineEntry) string {
	if e.SinceMs == 0 {
		return "-"
	}
	return fmt.Sprintf("%d s", e.SinceMs/1000)
}

type quarantineLiftCmd struct {
	ID string `arg:"" help:"The id of the part or request, from 'quarantine list'."`
}

func (c *quarantineLiftCmd) Run(a *app) error {
	_, isPart := quarantine.ParsePart(c.ID)
	if _, isRequest := quarantine.ParseFingerprint(c.ID); !isPart && !isRequest {
		return &exitError{exitUsage, fmt.Errorf("%q is not the id of a part (16 hexadecimal digits) or of a request (32)", c.ID)}
	}
	resp, err := a.client().LiftQuarantine(context.Background(), connect.NewRequest(&v1.LiftQuarantineRequest{Id: c.ID}))
	if err != nil {
		return err
	}
	if done, err := a.printIfJSON(resp.Msg); done {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s is sent to endpoints again; the other boxes follow the store.\n", c.ID)
	return err
}
