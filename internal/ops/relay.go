package ops

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/archive"
	"github.com/stoatramp/stoatramp/internal/builds"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/relay"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
	"github.com/stoatramp/stoatramp/internal/slots"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// RelayServer answers the operators of a relay box, whose platform configures routes and endpoints. Its shared
// configuration holds only policies, rules and operators.
type RelayServer struct {
	Versions
	Name, Region, Hall string
	Relay              RelayState
	Records            *record.Ring
	Archive            *archive.TimeArchive
	Metrics            *telemetry.Metrics
	// Operator reports whether a key is the key of an operator.
	Operator func(key string) bool
	// OpenMetrics makes the metrics readable without an operator key.
	OpenMetrics bool
	// Stop begins a planned stop. It returns immediately.
	Stop func()
	// NearLimit returns the client accounts that are close to their limit. For each account, it returns the share of
	// its burst capacity that is left. It covers only the accounts that this box owns. An account's owner is the box
	// that divides the account's limit among all boxes. NearLimit is nil if the box does not know these accounts.
	NearLimit func() map[string]float64
	// SlotOwner returns the box that this box asks first for a slot of a cell; an empty string if there is none.
	SlotOwner func(slots.Cell) string
	// Quarantined is what the box sends to no endpoint because it crashes endpoints.
	Quarantined Quarantine
	// BuildPlans returns the plans that say at which build each new stream begins; nil if there are none.
	BuildPlans func() []builds.Plan
	// CarriedTunnels returns the number of connections that this box carries for other boxes.
	CarriedTunnels func() int
}

// RelayState is the state that operators can read of a relay box.
type RelayState interface {
	BoxState
	// PolicyVersion is the version of the policies that the box uses; 0 before the first.
	PolicyVersion() int64
	// OwnedCells is the state of the cells that the box owns: groups of endpoints whose slots the box grants.
	OwnedCells() []slots.CellSnapshot
	// ContendedCells are the cells whose owners the box asks for slots at present.
	ContendedCells() []relay.ContendedCell
	// PlainEndpoints are the endpoints of plain services that have calls or connections of the box.
	PlainEndpoints() []relay.PlainEndpoint
	// RetryBudgets are the box's retry budgets.
	RetryBudgets() []relay.RetryBudget
	// LostPaths are the endpoints that the box does not reach directly, and Tunnels the number of its connections
	// through each other box.
	LostPaths() []relay.LostPath
	Tunnels() map[string]int
	// Intake is what the box gets from callers beside the other boxes.
	Intake() relay.Intake
}

var _ stoatrampv1connect.OperatorHandler = (*RelayServer)(nil)

// Handler returns the handler for the operators' address.
func (s *RelayServer) Handler() http.Handler {
	mux := operatorMux(s, s.Metrics)
	guarded := requireKey(s.Operator, mux)
	if !s.OpenMetrics {
		return guarded
	}
	all := http.NewServeMux()
	all.Handle("GET /metrics", mux)
	all.Handle("/", guarded)
	return all
}

// Status returns the state of the box.
func (s *RelayServer) Status(context.Context, *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	out := status(s.Name, s.Region, s.Hall, s.Relay)
	if v := s.Relay.PolicyVersion(); v > 0 {
		out.Notes = append(out.Notes, fmt.Sprintf("policies and operators of version %d are in force", v))
	}
	if s.NearLimit != nil {
		out.Notes = append(out.Notes, nearLimitNotes(s.NearLimit())...)
	}
	if s.Quarantined != nil {
		out.Notes = append(out.Notes, quarantineNotes(s.Quarantined)...)
	}
	cells := s.Relay.OwnedCells()
	out.Slots, out.SlotAccounts = slotStatus(cells), slotAccountStatus(cells)
	out.Cells = cellStatus(s.Relay.ContendedCells(), s.SlotOwner)
	out.PlainEndpoints = plainEndpointStatus(s.Relay.PlainEndpoints())
	out.RetryBudgets = retryBudgetStatus(s.Relay.RetryBudgets())
	out.Paths, out.Tunnels = pathStatus(s.Relay.LostPaths()), tunnelStatus(s.Relay.Tunnels())
	out.Intake = intakeStatus(s.Relay.Intake())
	if s.BuildPlans != nil {
		out.BuildPlans = buildPlanStatus(s.BuildPlans(), time.Now())
	}
	if s.CarriedTunnels != nil {
		out.CarriedTunnels = int32(s.CarriedTunnels())
	}
	return connect.NewResponse(out), nil
}

// buildPlanStatus describes plans as of a time of day.
func buildPlanStatus(plans []builds.Plan, now time.Time) (out []*v1.BuildPlanStatus) {
	for _, p := range plans {
		s := &v1.BuildPlanStatus{
			Service: p.Service, Region: p.Region, Number: p.Number, Earlier: int32(p.CountEarlier(now)),
			UnplannedMs: max(0, p.UnplannedUntil-now.UnixMilli()), LogLostMs: max(0, p.LogLostUntil-now.UnixMilli()),
		}
		for _, share := range p.Shares {
			s.Shares = append(s.Shares, &v1.BuildShareStatus{Build: share.Build, Part: p.Shares.Fraction(share.Build)})
		}
		out = append(out, s)
	}
	return out
}

// slotStatus lists the endpoints of cells.
func slotStatus(cells []slots.CellSnapshot) (out []*v1.SlotStatus) {
	for _, c := range cells {
		for _, e := range c.Endpoints {
			out = append(out, &v1.SlotStatus{
				Service: c.Service, Region: c.Region, Cell: int32(c.Index), Endpoint: e.ID,
				Limit: int32(e.Limit), InUse: int32(e.InUse), Waiting: int32(c.Waiting), ServiceUs: e.Service.Microseconds(),
				Slots: int32(e.Slots), State: endpointState(e.Usable, e.SetAside), Overdue: int32(e.Overdue), FailedPercent: int32(math.Round(100 * e.FailureRate)),
			})
		}
	}
	return out
}

func endpointState(open, setAside bool) string {
	switch {
	case !open:
		return "closed"
	case setAside:
		return "set_aside"
	}
	return "ready"
}

// slotAccountStatus lists the accounts of cells.
func slotAccountStatus(cells []slots.CellSnapshot) (out []*v1.SlotAccountStatus) {
	for _, c := range cells {
		for _, a := range c.Accounts {
			s := &v1.SlotAccountStatus{
				Service: c.Service, Region: c.Region, Cell: int32(c.Index), Account: a.Account, Waiting: int32(a.Waiting), InUse: int32(a.InUse),
				Granted: a.Granted, Withdrawn: a.Withdrawn, Returning: a.Returning, ReturningRefused: a.ReturningRefused, Refused: map[string]uint64{},
			}
			for reason, n := range a.Refused {
				if n > 0 {
					s.Refused[slots.Reason(reason).String()] = n
				}
			}
			out = append(out, s)
		}
	}
	return out
}

// cellStatus lists the cells of contended services with their owners.
func cellStatus(cells []relay.ContendedCell, owner func(slots.Cell) string) (out []*v1.CellStatus) {
	for _, c := range cells {
		s := &v1.CellStatus{Service: c.Service, Region: c.Region, Cell: int32(c.Index), SignAgeMs: c.SignAge.Milliseconds()}
		if owner != nil {
			s.Owner = owner(c.Cell)
		}
		out = append(out, s)
	}
	return out
}

// plainEndpointStatus lists the endpoints of plain services.
func plainEndpointStatus(list []relay.PlainEndpoint) (out []*v1.PlainEndpointStatus) {
	for _, e := range list {
		out = append(out, &v1.PlainEndpointStatus{
			Service: e.Service, Region: e.Region, Endpoint: e.ID, State: endpointState(e.Open, e.SetAside), Calls: int32(e.Calls),
			MeanUs: e.Mean.Microseconds(), Connections: int32(e.Conns.Open), IdleConnections: int32(e.Conns.Idle),
			WaitingCalls: int32(e.Conns.Waiting), MaxConnections: int32(e.MaxConns),
		})
	}
	return out
}

// retryBudgetStatus lists the retry budgets of the box.
func retryBudgetStatus(list []relay.RetryBudget) (out []*v1.RetryBudgetStatus) {
	for _, b := range list {
		out = append(out, &v1.RetryBudgetStatus{
			Service: b.Name, Left: int32(b.Left), BorrowedNow: int32(b.BorrowedNow),
			Borrowed: b.Borrowed, Returned: b.Returned, Lent: b.Lent, TakenBack: b.TakenBack, Denied: b.Denied,
		})
	}
	return out
}

// pathStatus lists the endpoints that the box does not reach directly.
func pathStatus(list []relay.LostPath) (out []*v1.PathStatus) {
	for _, p := range list {
		out = append(out, &v1.PathStatus{
			Address: p.Address, Service: p.Service, Hall: p.Hall, State: p.State.String(), SinceMs: p.Lasts.Milliseconds(),
			Direct: p.Failure.String(), Via: p.Via,
		})
	}
	return out
}

// intakeStatus describes what the box gets from callers.
func intakeStatus(i relay.Intake) *v1.IntakeStatus {
	return &v1.IntakeStatus{
		OfferedPerS: i.Offered, ReadPerS: i.Read, LimitPerS: i.Limit, MeanPerS: i.Mean, Hot: i.Hot,
		LinkDelayUs: i.Link.Microseconds(), ProcessorDelayUs: i.Processor.Microseconds(), Unread: i.Unread,
	}
}

// tunnelStatus lists the boxes that carry connections of this box.
func tunnelStatus(open map[string]int) (out []*v1.TunnelStatus) {
	for _, box := range slices.Sorted(maps.Keys(open)) {
		out = append(out, &v1.TunnelStatus{Box: box, Connections: int32(open[box])})
	}
	return out
}

// maxNearLimitNotes is the maximum number of accounts near their limit that a status names.
const maxNearLimitNotes = 10

// nearLimitNotes returns a sentence for each of the accounts that are closest to their limits. left is the share of
// burst capacity that each account has left, as NearLimit returns it.
func nearLimitNotes(left map[string]float64) (out []string) {
	names := slices.SortedFunc(maps.Keys(left), func(a, b string) int {
		return cmp.Or(cmp.Compare(left[a], left[b]), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxNearLimitNotes)] {
		out = append(out, fmt.Sprintf("client account %s, whose home this box is, has %.0f%% of what it may have at once left", name, 100*left[name]))
	}
	return out
}

// AwaitLocalRollout waits until an accepted version is in force on this box. The other boxes follow the platform's
// store on their own. This box does not check the other boxes, so the response names none of them.
func (s *RelayServer) AwaitLocalRollout(ctx context.Context, version int64) *v1.ApplyConfigResponse {
	return pollRollout(ctx, version, func() []string {
		if s.Relay.PolicyVersion() >= version {
			return nil
		}
		return []string{s.Name}
	})
}

// Why explains a request that this box served recently, or whose record is in the archive that all boxes share.
func (s *RelayServer) Why(ctx context.Context, r *connect.Request[v1.WhyRequest]) (*connect.Response[v1.WhyResponse], error) {
	if rec := s.Records.Get(r.Msg.Id); rec != nil {
		return explain(rec)
	}
	rec, err := s.Archive.Find(ctx, r.Msg.Id)
	if errors.Is(err, archive.ErrNotFound) {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no record of request %q on this box, nor in the object store, where records come within a minute: %w", r.Msg.Id, err))
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("the record of request %q is not on this box, and the object store does not answer: %w", r.Msg.Id, err))
	}
	return explain(rec)
}

// Drain starts a planned stop.
func (s *RelayServer) Drain(context.Context, *connect.Request[v1.DrainRequest]) (*connect.Response[v1.DrainResponse], error) {
	n := s.Relay.Running()
	s.Stop()
	return connect.NewResponse(&v1.DrainResponse{Running: n}), nil
}
