// Package box assembles one box (a machine that runs the router) from its parts and runs it. The parts are the
// listeners for callers and operators, the ticker that fires timeouts, and the probes that read the load of engines.
// Another part follows the configuration.
//
// Box runs package gateway. RelayBox runs package relay: it forwards requests by the platform's routes and works with
// other boxes. RelayBox reads its configuration and its lists from tables of a store. A table consists of rows, and a
// row is a key with a text. The store has a counter, its era. The era rises each time the store is restored from an
// older snapshot.
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
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/httphead"
	"github.com/stoatramp/stoatramp/internal/limit"
	"github.com/stoatramp/stoatramp/internal/ops"
	"github.com/stoatramp/stoatramp/internal/peer"
	"github.com/stoatramp/stoatramp/internal/platform"
	"github.com/stoatramp/stoatramp/internal/policy"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// ErrRequestsCutOff means that the box stopped while requests were still running. Either a second signal came, or the
// wait for those requests timed out.
var ErrRequestsCutOff = errors.New("stopped with requests still running")

// Box is a running box that serves callers through package gateway.
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
	// recorder counts and logs requests and malformed answers.
	recorder *account.Recorder
	stop     stopPlan
	app      *kratos.App
	cancel   context.CancelFunc
	ctx      context.Context

	// Callers and Operators are the addresses that the box listens on.
	Callers   string
	Operators string
}

// malformedOf returns a function that counts and logs the malformed answers of one kind of sender.
func (b *Box) malformedOf(of string) func(address string, err error) {
	return func(address string, err error) { b.recorder.MalformedAnswer(of, address, err) }
}

// New assembles a box and opens its listeners, so that its addresses are known.
func New(cfg *config.Box, log *zap.Logger) (*Box, error) {
	b := &Box{cfg: cfg, log: log, Metrics: telemetry.NewMetrics(), engines: engine.NewClient()}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	countedDial := telemetry.CountBytes(b.Metrics.ControlBytes, (&net.Dialer{}).DialContext)
	b.engines.WrapProbeDial(func(d engine.Dial) engine.Dial { return telemetry.CountBytes(b.Metrics.ControlBytes, d) })
	// This client claims idempotency keys. Claims are counted with their requests, so the bytes of this client are
	// not counted as control traffic. The bytes for reading the configuration are counted as control traffic.
	claimClient := platform.NewClient(cfg.Platform, cfg.PlatformKey)
	records := record.NewRing(ops.RecordCapacity)
	b.records = records
	controlClient := platform.NewClientWithDial(cfg.Platform, cfg.PlatformKey, countedDial)
	b.store = control.NewStore(controlClient)
	b.archive = archive.New(controlClient, b.Metrics.RecordsLost)
	b.peers = peer.New(cfg.Name, cfg.PeerKey, controlClient, &http.Client{Transport: httphead.NewTransport(&http.Transport{DialContext: countedDial, IdleConnTimeout: time.Minute}, b.malformedOf(telemetry.OfBox))})
	b.recorder = &account.Recorder{
		Records: records, Archive: b.archive, Metrics: b.Metrics,
		Log: account.NewLog(log, loggedRequestsPerSecond, nil, b.Metrics.LogLeftOut),
	}
	recorder := b.recorder
	b.engines.OnMalformed = b.malformedOf(telemetry.OfEndpoint)
	controlClient.OnMalformed, claimClient.OnMalformed = b.malformedOf(telemetry.OfPlatform), b.malformedOf(telemetry.OfPlatform)
	limits := limit.NewTable()
	b.limits = limits
	b.grants = peer.NewGrants(b.peers, limits)
	b.Gateway = gateway.New(gateway.Options{
		Limits:   limits,
		Box:      cfg,
		Core:     decide.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), cfg.Queue),
		Engines:  b.engines,
		Claims:   claim.New(claimClient),
		Recorder: recorder,
		Log:      log,
	})
	b.probes = newProber(b.engines, b.Gateway)
	b.engines.OnLoad = b.probes.receiveReport
	operators := ops.NewServer(b.store, policy.Check)
	operators.Box, operators.Gateway, operators.Records, operators.Metrics = cfg, b.Gateway, records, b.Metrics
	operators.Peers, operators.Grants, operators.Archive = b.peers, b.grants, b.archive
	operators.Incarnation = b.Gateway.Incarnation
	operators.Stop = func() { go func() { _ = b.Stop() }() }
	callerServer, callers, err := b.listen(cfg.Callers, cfg.CallerTLS, b.Gateway, &b.Callers)
	if err != nil {
		b.cancel()
		return nil, fmt.Errorf("callers' address: %w", err)
	}
	operatorServer, _, err := b.listen(cfg.Operators, cfg.OperatorTLS, operators.Handler(), &b.Operators)
	if err != nil {
		b.cancel()
		closeAll(callers)
		return nil, fmt.Errorf("operators' address: %w", err)
	}
	b.app = kratos.New(
		kratos.Name("stoatrampd"),
		kratos.Server(plannedServer{callerServer, &b.stop}, plannedServer{operatorServer, &b.stop}),
		// kratos stops gracefully on any of these signals. An empty list would mean every signal,
		// and the Go runtime sends itself SIGURG regularly.
		kratos.Signal(stopSignals...),
		kratos.StopTimeout(maxStopTimeout), // Only an upper bound: plannedServer closes each listener by an earlier deadline.
		kratos.BeforeStop(b.drain),
	)
	return b, nil
}

// loggedRequestsPerSecond is how many successful requests are logged each second.
const loggedRequestsPerSecond = 40

// stopSignals are the signals that start a graceful stop. A second signal stops the box immediately.
var stopSignals = []os.Signal{syscall.SIGTERM, syscall.SIGINT}

const (
	// maxStopTimeout is above the longest stop that the settings allow.
	maxStopTimeout = 25 * time.Hour
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
)

// kratosServer is a server that kratos starts and stops.
type kratosServer = transport.Server

// newHTTPServer serves h on a listener through kratos' HTTP transport. It installs the handler as a filter, which runs
// before kratos' router. That router would redirect requests to cleaned paths. newHTTPServer switches off kratos' own
// request timeout of one second, because that timeout would cut streams. Every stage of a request has its own timeout.
func newHTTPServer(lis net.Listener, h http.Handler, addr *string, log *zap.Logger, extra ...khttp.ServerOption) *khttp.Server {
	*addr = lis.Addr().String()
	opts := append([]khttp.ServerOption{
		khttp.Listener(lis),
		khttp.Address(*addr),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return h1.GuardEnds(h) }),
	}, extra...)
	srv := khttp.NewServer(opts...)
	srv.MaxHeaderBytes = maxHeaderBytes
	srv.IdleTimeout = idleTimeout
	srv.ConnContext = h1.ConnContext
	srv.ErrorLog, _ = zap.NewStdLogAt(log, zap.WarnLevel)
	return srv
}

// listen opens a listener of the box, stores its address in addr, and returns it with its server. The listener uses TLS
// if the settings name certificate files.
func (b *Box) listen(address string, files config.TLSFiles, h http.Handler, addr *string) (*khttp.Server, net.Listener, error) {
	var opts []khttp.ServerOption
	if files.Cert != "" {
		pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			return nil, nil, fmt.Errorf("TLS: %w", err)
		}
		opts = append(opts, khttp.TLSConfig(&tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}))
	}
	lis, err := h1.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	srv := newHTTPServer(lis, h, addr, b.log, opts...)
	srv.ReadHeaderTimeout = b.cfg.HeaderTimeout
	return srv, lis, nil
}

// closeAll closes the listeners that a box has opened before it failed to open another one.
func closeAll(opened ...net.Listener) {
	for _, lis := range opened {
		_ = lis.Close()
	}
}

// Run serves until Stop is called or a signal arrives. It returns nil if all running requests have ended by then.
func (b *Box) Run() error {
	sigs := make(chan os.Signal, 2)
	signal.Notify(sigs, stopSignals...)
	defer signal.Stop(sigs)
	go b.followConfig()
	if b.cfg.PeerKey != "" {
		go b.peers.Run(b.ctx)
		go b.grants.Run(b.ctx)
	}
	go b.archive.Run(b.ctx)
	go runTicker(b.ctx, b.Gateway, func(d time.Duration) { logStall(b.log, b.Metrics, d) })
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
				return b.forceStop(sig)
			}
			stopping = true
			b.log.Info("draining", zap.Stringer("signal", sig), zap.Int64("running", b.Gateway.Running()))
		}
	}
}

// Stop waits for running requests and shuts the box down.
func (b *Box) Stop() error { return b.app.Stop() }

// forceStop logs the requests that a forced stop cuts off, and returns an error with their number. The engines
// notice the closed connections, and callers see streams without an end mark.
func (b *Box) forceStop(sig os.Signal) error {
	ids := b.Gateway.RunningIDs()
	b.log.Error("stopped by a second signal; these requests are cut off", zap.Stringer("signal", sig), zap.Strings("requests", ids))
	return fmt.Errorf("%w: %d requests cut off", ErrRequestsCutOff, len(ids))
}

// drain runs before the listeners close. The readiness check then fails, and new requests are refused. drain waits
// until the running requests have ended or the drain times out.
func (b *Box) drain(context.Context) error {
	ctx, cancel := context.WithDeadline(context.Background(), b.stop.begin(time.Now(), b.cfg.DrainTimeout))
	defer cancel()
	defer flushWithin(flushTimeout, b.archive.Flush)
	if err := b.Gateway.Drain(ctx); err != nil {
		b.log.Error("drain timed out; these requests are cut off", zap.Strings("requests", b.Gateway.RunningIDs()))
		return fmt.Errorf("%w: drain timed out", ErrRequestsCutOff)
	}
	return nil
}

// flushTimeout bounds how long the box writes the last decision records before the process exits.
const flushTimeout = 3 * time.Second

// flushWithin calls flush with a timeout.
func flushWithin(timeout time.Duration, flush func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	flush(ctx)
}

// tickTarget is what runTicker ticks. It counts running requests, and its Tick fires timeouts that are due.
type tickTarget interface {
	Running() int64
	// NotifyBusy returns a channel that receives a value when a request starts while no other runs.
	NotifyBusy() <-chan struct{}
	// Tick lets timeouts fire. late is by how much the tick came too late.
	Tick(late time.Duration)
}

// minLoggedStall is the least delay of a tick that is reported as a stall of this process. During a stall all
// callers and engines appear silent. minLoggedStall is well above the scheduling delays of a busy machine.
const minLoggedStall = 250 * time.Millisecond

// runTicker calls Tick at regular intervals so that timeouts fire. While no request runs, no timeout can fire. The
// ticker is then stopped, so that it does not wake the process. If a tick comes more than minLoggedStall late,
// runTicker calls onStall with the delay.
func runTicker(ctx context.Context, target tickTarget, onStall func(time.Duration)) {
	busy := target.NotifyBusy()
	last := time.Now()
	t := time.NewTicker(decide.TickEvery())
	defer t.Stop()
	for {
		if target.Running() == 0 {
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
			late := max(0, time.Since(last)-decide.TickEvery())
			if late > minLoggedStall {
				onStall(late)
			}
			last = time.Now()
			target.Tick(late)
		case <-ctx.Done():
			return
		}
	}
}

// logStall counts and logs a stall. For the time d the process got no CPU time, or was frozen.
func logStall(log *zap.Logger, m *telemetry.Metrics, d time.Duration) {
	m.Stalls.Inc()
	log.Warn("process stalled", zap.Duration("for", d))
}

// followConfig puts each accepted configuration in force.
func (b *Box) followConfig() {
	b.store.Follow(b.ctx, b.configFromPeer, b.applyConfig, func(err error) {
		b.log.Warn("configuration", zap.Error(err))
	})
}

// configFromPeer asks the other boxes for a configuration that is newer than the known version. It is called while
// the platform's configuration table does not answer.
func (b *Box) configFromPeer(ctx context.Context, known int64) (*control.Version, error) {
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

func (b *Box) applyConfig(v *control.Version) error {
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

// UseLog sends the log lines of kratos to log. Call it once at the start of a process, since kratos has one
// global logger.
func UseLog(log *zap.Logger) { klog.SetLogger(kratosLogger{log}) }

// kratosLogger writes kratos' warnings and errors to the box's log.
type kratosLogger struct{ log *zap.Logger }

func (k kratosLogger) Log(level klog.Level, keyvals ...any) error {
	if level >= klog.LevelWarn {
		k.log.Warn("kratos", zap.Any("fields", keyvals))
	}
	return nil
}
