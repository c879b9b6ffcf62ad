// Package box puts the parts of one box together and runs them: the callers'
// and operators' listeners, the decisions' clock, the load probes and the
// configuration that the box follows.
package box

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/archive"
	"github.com/stoatramp/stoatramp/internal/claim"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/control"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/gateway"
	"github.com/stoatramp/stoatramp/internal/limit"
	"github.com/stoatramp/stoatramp/internal/ops"
	"github.com/stoatramp/stoatramp/internal/peer"
	"github.com/stoatramp/stoatramp/internal/platform"
	"github.com/stoatramp/stoatramp/internal/policy"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// ErrCut means that a second signal ended the box before its last request.
var ErrCut = errors.New("stopped before the last request was done")

// Box is one running box.
type Box struct {
	cfg     *config.Box
	log     *zap.Logger
	Metrics *telemetry.Metrics
	Gateway *gateway.Gateway
	engines *engine.Client
	store   *control.Store
	probes  *prober
	peers   *peer.Peers
	grants  *peer.Grants
	limits  *limit.Table
	archive *archive.Archive
	records *record.Ring
	stop    stopPlan
	app     *kratos.App
	cancel  context.CancelFunc
	ctx     context.Context

	// Callers and Operators are the addresses the box listens on.
	Callers   string
	Operators string
}

// New prepares a box and opens its listeners, so that its addresses are known.
func New(cfg *config.Box, log *zap.Logger) (*Box, error) {
	b := &Box{cfg: cfg, log: log, Metrics: telemetry.NewMetrics(), engines: engine.NewClient()}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	counted := telemetry.CountBytes(b.Metrics.ControlBytes, (&net.Dialer{}).DialContext)
	b.engines.ProbeThrough(func(d engine.Dial) engine.Dial { return telemetry.CountBytes(b.Metrics.ControlBytes, d) })
	// Claims are part of their requests; only the configuration is control traffic.
	table := platform.NewClient(cfg.Platform, cfg.PlatformKey)
	records := record.NewRing(ops.RecordsKept)
	b.records = records
	controlled := platform.NewClientThrough(cfg.Platform, cfg.PlatformKey, counted)
	b.store = control.NewStore(controlled)
	b.archive = archive.New(controlled, b.Metrics.RecordsLost)
	b.peers = peer.New(cfg.Name, cfg.PeerKey, controlled, &http.Client{Transport: &http.Transport{DialContext: counted, IdleConnTimeout: time.Minute}})
	book := &account.Book{
		Records: records, Archive: b.archive, Metrics: b.Metrics,
		Log: account.NewLog(log, loggedRate, nil, b.Metrics.LogLeftOut),
	}
	limits := limit.NewTable()
	b.limits = limits
	b.grants = peer.NewGrants(b.peers, limits)
	b.Gateway = gateway.New(gateway.Options{
		Limits:  limits,
		Box:     cfg,
		Core:    decide.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), cfg.Queue),
		Engines: b.engines,
		Claims:  claim.New(table),
		Book:    book,
		Log:     log,
	})
	b.probes = newProber(b.engines, b.Gateway)
	b.engines.OnLoad = b.probes.heard
	operators := ops.NewServer(b.store, policy.Check)
	operators.Box, operators.Gateway, operators.Records, operators.Metrics = cfg, b.Gateway, records, b.Metrics
	operators.Peers, operators.Grants, operators.Archive = b.peers, b.grants, b.archive
	operators.Incarnation = b.Gateway.Incarnation
	operators.Stop = func() { go func() { _ = b.Stop() }() }
	callers, err := b.listen(cfg.Callers, cfg.CallerTLS, b.Gateway, &b.Callers)
	if err != nil {
		return nil, fmt.Errorf("callers' address: %w", err)
	}
	inner, err := b.listen(cfg.Operators, cfg.OperatorTLS, operators.Handler(), &b.Operators)
	if err != nil {
		return nil, fmt.Errorf("operators' address: %w", err)
	}
	b.app = kratos.New(
		kratos.Name("stoatrampd"),
		kratos.Server(plannedServer{callers, &b.stop}, plannedServer{inner, &b.stop}),
		// kratos drains on the first of these. An empty list would mean every
		// signal, and the Go runtime sends itself SIGURG all the time.
		kratos.Signal(stopSignals...),
		kratos.StopTimeout(longestStop), // The plan has an earlier one.
		kratos.BeforeStop(b.drain),
	)
	return b, nil
}

// loggedRate is how many requests that go well are logged a second, unless the settings
// say otherwise.
const loggedRate = 40

// stopSignals ask for a planned stop; a second one forces it.
var stopSignals = []os.Signal{syscall.SIGTERM, syscall.SIGINT}

const (
	// longestStop is above what the settings allow for a planned stop.
	longestStop = 25 * time.Hour
	maxHeader   = 64 << 10
	idleTimeout = 2 * time.Minute
)

// kratosServer is what kratos runs.
type kratosServer = transport.Server

// serveOn puts one listener behind kratos' HTTP transport. The handler is
// installed as a filter, so that kratos' router, which would clean paths by
// redirecting, sees nothing; and kratos' one-second time-out, which would cut
// streams, is off: every stage of a request has a bound of its own.
func serveOn(lis net.Listener, h http.Handler, got *string, log *zap.Logger, more ...khttp.ServerOption) *khttp.Server {
	*got = lis.Addr().String()
	opts := append([]khttp.ServerOption{
		khttp.Listener(lis),
		khttp.Address(*got),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return h }),
	}, more...)
	srv := khttp.NewServer(opts...)
	srv.MaxHeaderBytes = maxHeader
	srv.IdleTimeout = idleTimeout
	srv.ErrorLog, _ = zap.NewStdLogAt(log, zap.WarnLevel)
	return srv
}

// listen opens one of the box's listeners, with TLS where the settings name files.
func (b *Box) listen(address string, files config.TLSFiles, h http.Handler, got *string) (*khttp.Server, error) {
	var opts []khttp.ServerOption
	if files.Cert != "" {
		pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			return nil, fmt.Errorf("TLS: %w", err)
		}
		opts = append(opts, khttp.TLSConfig(&tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}))
	}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	srv := serveOn(lis, h, got, b.log, opts...)
	srv.ReadHeaderTimeout = b.cfg.HeaderTimeout
	return srv, nil
}

// Run serves until Stop or a signal, and returns nil after a clean drain.
func (b *Box) Run() error {
	sigs := make(chan os.Signal, 2)
	signal.Notify(sigs, stopSignals...)
	defer signal.Stop(sigs)
	go b.follow()
	if b.cfg.PeerKey != "" {
		go b.peers.Run(b.ctx)
		go b.grants.Run(b.ctx)
	}
	go b.archive.Run(b.ctx)
	go tick(b.ctx, b.Gateway, func(d time.Duration) { logStall(b.log, b.Metrics, d) })
	go b.probes.run(b.ctx)
	ended := make(chan error, 1)
	go func() { ended <- b.app.Run() }()
	defer b.cancel()
	stopping := false
	for {
		select {
		case err := <-ended:
			return err
		case sig := <-sigs:
			if stopping {
				return b.cut(sig)
			}
			stopping = true
			b.log.Info("draining", zap.Stringer("signal", sig), zap.Int64("running", b.Gateway.Running()))
		}
	}
}

// Stop drains the box and ends it.
func (b *Box) Stop() error { return b.app.Stop() }

// cut names what a forced stop cuts off. Their engines notice by the broken
// connections, and callers by streams without an end.
func (b *Box) cut(sig os.Signal) error {
	ids := b.Gateway.RunningIDs()
	b.log.Error("ended by a second signal; these requests are cut off", zap.Stringer("signal", sig), zap.Strings("requests", ids))
	return fmt.Errorf("%w: %d requests cut off", ErrCut, len(ids))
}

// drain runs before the listeners close: readiness fails, no new request
// starts, and the last one is waited for.
func (b *Box) drain(context.Context) error {
	ctx, cancel := context.WithDeadline(context.Background(), b.stop.begin(time.Now(), b.cfg.DrainTimeout))
	defer cancel()
	defer flushWithin(flushLimit, b.archive.Flush)
	if err := b.Gateway.Drain(ctx); err != nil {
		b.log.Error("drain timed out; these requests are cut off", zap.Strings("requests", b.Gateway.RunningIDs()))
		return fmt.Errorf("%w: drain timed out", ErrCut)
	}
	return nil
}

// flushLimit bounds writing the last records before the box is gone.
const flushLimit = 3 * time.Second

// flushWithin writes the last records of either kind of box within a limit.
func flushWithin(limit time.Duration, flush func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	flush(ctx)
}

// ticked is what has time-outs to fire while requests run.
type ticked interface {
	Running() int64
	// Busy returns a channel that has an entry once the first request runs.
	Busy() <-chan struct{}
	Tick()
}

// stallLogged is how much later than due a tick comes that is reported as a stall of this process: calls
// and callers seem to have been silent for that long. It is well above what scheduling takes on a busy machine.
const stallLogged = 250 * time.Millisecond

// tick lets the decisions' time-outs fire. With nothing running there is nothing to time out, and the
// process is not woken. It calls stalled where a tick came much too late.
func tick(ctx context.Context, r ticked, stalled func(time.Duration)) {
	busy := r.Busy()
	last := time.Now()
	t := time.NewTicker(decide.TickEvery())
	defer t.Stop()
	for {
		if r.Running() == 0 {
			t.Stop()
			select {
			case <-busy:
				t.Reset(decide.TickEvery())
				last = time.Now()
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-t.C:
			if late := time.Since(last) - decide.TickEvery(); late > stallLogged {
				stalled(late)
			}
			last = time.Now()
			r.Tick()
		case <-ctx.Done():
			return
		}
	}
}

// logStall reports that the process had no processor, or was frozen, for a while.
func logStall(log *zap.Logger, m *telemetry.Metrics, d time.Duration) {
	m.Stalls.Inc()
	log.Warn("process stalled", zap.Duration("for", d))
}

// follow puts each accepted configuration in force.
func (b *Box) follow() {
	b.store.Follow(b.ctx, b.passed, b.apply, func(err error) {
		b.log.Warn("configuration", zap.Error(err))
	})
}

// passed asks peers for a version while the table does not answer.
func (b *Box) passed(ctx context.Context, known int64) (*control.Version, error) {
	if b.cfg.PeerKey == "" {
		return nil, peer.ErrNoPeer
	}
	if len(b.peers.Others()) == 0 {
		b.peers.Refresh(ctx)
	}
	number, text, err := b.peers.Config(ctx, known)
	if err != nil {
		return nil, err
	}
	return &control.Version{Number: number, Text: text}, nil
}

func (b *Box) apply(v *control.Version) error {
	c, err := v.Parse(nil)
	if err != nil {
		return err
	}
	set, err := policy.Compile(c.Policies)
	if err != nil {
		return err
	}
	b.Gateway.SetConfig(c, set)
	b.probes.setConfig(c)
	b.log.Info("configuration in force", zap.Int64("version", c.Version))
	return nil
}

// UseLog sends the lines of the libraries to log. It is for the start of a
// process, since the libraries keep one logger for all.
func UseLog(log *zap.Logger) { klog.SetLogger(kratosLog{log}) }

// kratosLog passes kratos' own lines on as JSON, below the box's.
type kratosLog struct{ log *zap.Logger }

func (k kratosLog) Log(level klog.Level, keyvals ...any) error {
	if level >= klog.LevelWarn {
		k.log.Warn("kratos", zap.Any("fields", keyvals))
	}
	return nil
}
