package cli

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
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
	printIntake(w, s.Intake)
	err := printTable(w, "ENGINE\tPOOL\tROLE\tHALL\tBUILD\tSTATE\tQUEUE\tSTREAMS\tFREE KV\tHELD BY THIS BOX", s.Engines, func(e *v1.EngineStatus) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%d ms\t%d\t%d\t%d",
			e.Name, e.Pool, e.Role, e.Hall, cmp.Or(e.Build, "-"), e.State, e.QueueMs, e.Streams, e.FreeKvTokens, e.HeldKvTokens)
	})
	if err != nil {
		return err
	}
	printBuildPlans(w, s.BuildPlans)
	if err := printPaths(w, s); err != nil {
		return err
	}
	if err := printSlots(w, s); err != nil {
		return err
	}
	return printRetryBudgets(w, s)
}

// printIntake prints what the box gets from callers, if it is hot or has left connections unread. A box of an older release
// sends nothing.
func printIntake(w io.Writer, i *v1.IntakeStatus) {
	if i == nil || !i.Hot && i.LimitPerS == 0 && i.Unread == 0 {
		return
	}
	hot, reads := "", "reads all"
	if i.Hot {
		hot = "HOT: "
	}
	if i.LimitPerS > 0 {
		reads = fmt.Sprintf("reads at most %.0f/s", i.LimitPerS)
	}
	fmt.Fprintf(w, "%s%.0f new connections/s (at most %.0f/s on the mean of all boxes), %s; own delay: link %s, processor %s; %d closed unread since the start\n",
		hot, i.OfferedPerS, i.MeanPerS, reads, micros(i.LinkDelayUs), micros(i.ProcessorDelayUs), i.Unread)
}

// printBuildPlans prints where new streams begin, for services with several builds, or for which an earlier plan still holds.
func printBuildPlans(w io.Writer, plans []*v1.BuildPlanStatus) {
	for _, p := range plans {
		if len(p.Shares) < 2 && p.Earlier == 0 && p.UnplannedMs == 0 && p.LogLostMs == 0 {
			continue
		}
		var shares []string
		for _, s := range p.Shares {
			shares = append(shares, fmt.Sprintf("%.0f%% at build %s", 100*s.Part, s.Build))
		}
		fmt.Fprintf(w, "plan %d of %s in %s: new streams begin %s", p.Number, p.Service, p.Region, strings.Join(shares, ", "))
		if p.Earlier > 0 {
			fmt.Fprintf(w, "; %d earlier plans still hold for streams that are taken up", p.Earlier)
		}
		if p.UnplannedMs > 0 {
			fmt.Fprintf(w, "; streams may have begun without a plan, for %.0f s more", float64(p.UnplannedMs)/1000)
		}
		if p.LogLostMs > 0 {
			fmt.Fprintf(w, "; the log may lack origins, which are then unknown, for %.0f s more", float64(p.LogLostMs)/1000)
		}
		fmt.Fprintln(w)
	}
}

// printPaths prints the endpoints that the box does not reach directly, and the connections that boxes carry for each
// other. It prints nothing if all paths are direct.
func printPaths(w io.Writer, s *v1.StatusResponse) error {
	if s.CarriedTunnels > 0 {
		fmt.Fprintf(w, "carries %d connections of other boxes\n", s.CarriedTunnels)
	}
	var err error
	if len(s.Paths) > 0 {
		err = printTable(w, "NO DIRECT PATH TO\tSERVICE\tHALL\tSTATE\tFOR\tDIRECT CONNECT\tREACHED THROUGH", s.Paths, func(p *v1.PathStatus) string {
			return fmt.Sprintf("%s\t%s\t%s\t%s\t%d ms\t%s\t%s", p.Address, p.Service, p.Hall, p.State, p.SinceMs, p.Direct, cmp.Or(p.Via, "none"))
		})
	}
	if err == nil && len(s.Tunnels) > 0 {
		err = printTable(w, "CONNECTIONS THROUGH\tOPEN", s.Tunnels, func(t *v1.TunnelStatus) string {
			return fmt.Sprintf("%s\t%d", t.Box, t.Connections)
		})
	}
	return err
}

// printRetryBudgets prints the retry budgets of the box. A box of an older release sends none.
func printRetryBudgets(w io.Writer, s *v1.StatusResponse) error {
	if len(s.RetryBudgets) == 0 {
		return nil
	}
	return printTable(w, "RETRIES TO\tLEFT\tBORROWED NOW\tBORROWED\tRETURNED\tLENT\tTAKEN BACK\tDENIED", s.RetryBudgets, func(b *v1.RetryBudgetStatus) string {
		return fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d", b.Service, b.Left, b.BorrowedNow, b.Borrowed, b.Returned, b.Lent, b.TakenBack, b.Denied)
	})
}

// printSlots prints the state of plain services. Tables without entries are left out.
func printSlots(w io.Writer, s *v1.StatusResponse) error {
	var err error
	if len(s.PlainEndpoints) > 0 {
		err = printTable(w, "CALLS OF THIS BOX TO\tREGION\tENDPOINT\tSTATE\tIN PROGRESS\tMEAN\tCONNECTIONS\tIDLE\tAT MOST\tWAITING FOR ONE", s.PlainEndpoints,
			func(e *v1.PlainEndpointStatus) string {
				return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s\t%d\t%d\t%s\t%d", e.Service, e.Region, e.Endpoint, e.State, e.Calls, micros(e.MeanUs),
					e.Connections, e.IdleConnections, bound(e.MaxConnections), e.WaitingCalls)
			})
	}
	if err == nil && len(s.Cells) > 0 {
		err = printTable(w, "CONTENDED\tREGION\tCELL\tOWNER\tLAST SIGN", s.Cells, func(c *v1.CellStatus) string {
			return fmt.Sprintf("%s\t%s\t%d\t%s\t%d ms ago", c.Service, c.Region, c.Cell, cmp.Or(c.Owner, "none found"), c.SignAgeMs)
		})
	}
	if err == nil && len(s.Slots) > 0 {
		err = printTable(w, "SLOTS OF\tREGION\tCELL\tENDPOINT\tSTATE\tSLOTS\tLIMIT\tIN USE\tOVERDUE\tWAITING\tSERVICE TIME\tFAILED", s.Slots, func(e *v1.SlotStatus) string {
			return fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%d%%", e.Service, e.Region, e.Cell, e.Endpoint, e.State, e.Slots, e.Limit, e.InUse,
				e.Overdue, e.Waiting, micros(e.ServiceUs), e.FailedPercent)
		})
	}
	if err == nil && len(s.SlotAccounts) > 0 {
		err = printTable(w, "SLOTS OF\tREGION\tCELL\tACCOUNT\tWAITING\tIN USE\tGRANTED\tREFUSED\tGAVE UP\tCAME BACK\tIN VAIN", s.SlotAccounts, func(a *v1.SlotAccountStatus) string {
			return fmt.Sprintf("%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\t%d\t%d\t%d", a.Service, a.Region, a.Cell, cmp.Or(a.Account, "(none)"), a.Waiting, a.InUse,
				a.Granted, byReason(a.Refused), a.Withdrawn, a.Returning, a.ReturningRefused)
		})
	}
	return err
}

// printTable prints a table with a row for each entry.
func printTable[T any](w io.Writer, head string, list []T, row func(T) string) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, head)
	for _, e := range list {
		fmt.Fprintln(t, row(e))
	}
	return t.Flush()
}

func micros(us int64) string { return fmt.Sprintf("%.1f ms", float64(us)/1000) }

func bound(n int32) string {
	if n == 0 {
		return "no bound"
	}
	return fmt.Sprint(n)
}

// byReason lists counts with their reasons, ordered by reason; 0 if there are none.
func byReason(counts map[string]uint64) string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[reason], reason))
	}
	return cmp.Or(strings.Join(parts, ", "), "0")
}
