package cli

import (
	"fmt"
	"io"
	"text/tabwriter"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

func printStatus(w io.Writer, s *v1.StatusResponse) error {
	ready := "ready"
	if !s.Ready {
		ready = "not ready"
	}
	fmt.Fprintf(w, "box %s in %s, region %s: %s, configuration version %d, %d requests running, %d waiting\n",
		s.Box, s.Hall, s.Region, ready, s.ConfigVersion, s.Running, s.Waiting)
	for _, n := range s.Notes {
		fmt.Fprintf(w, "note: %s\n", n)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ENGINE\tPOOL\tROLE\tHALL\tSTATE\tQUEUE\tSTREAMS\tFREE KV\tHELD BY THIS BOX")
	for _, e := range s.Engines {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d ms\t%d\t%d\t%d\n",
			e.Name, e.Pool, e.Role, e.Hall, e.State, e.QueueMs, e.Streams, e.FreeKvTokens, e.HeldKvTokens)
	}
	if err := t.Flush(); err != nil || len(s.Slots) == 0 {
		return err
	}
	t = tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "SLOTS OF\tREGION\tCELL\tENDPOINT\tLIMIT\tIN USE\tWAITING\tSERVICE TIME")
	for _, e := range s.Slots {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%.1f ms\n",
			e.Service, e.Region, e.Cell, e.Endpoint, e.Limit, e.InUse, e.Waiting, float64(e.ServiceUs)/1000)
	}
	return t.Flush()
}
