// Package cli implements the operators' command-line tool. It calls a box (a machine that runs the router) at the box's
// address for operators.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kong"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/stoatramp/stoatramp/internal/httphead"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
)

// Exit codes, by which scripts can tell the results apart.
const (
	exitOK       = 0
	exitFailed   = 1 // The box could not be reached, or failed.
	exitUsage    = 2 // The command line or an argument is wrong.
	exitConflict = 3 // The change was rejected, because another version of the configuration had been accepted.
	exitProblems = 4 // A configuration or a policy has problems, or a policy's test case failed.
	exitNotFound = 5 // There is no such request, version or policy.
)

// exitError is an error that the tool prints before it exits with the code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// app is the whole command line: the flags that all commands have, and the commands.
type app struct {
	Box  []string `help:"Base URL of a box's operator address. 'why' tries several in order, separated by commas." env:"STOATRAMP_BOX" default:"http://127.0.0.1:8081"`
	Key  string   `help:"The operator key." env:"STOATRAMP_KEY"`
	JSON bool     `name:"json" help:"Print JSON."`

	Status     statusCmd     `cmd:"" help:"Show the state of a box."`
	Why        whyCmd        `cmd:"" help:"Explain how a request was routed and how it ended."`
	Config     configCmd     `cmd:"" help:"Read and change the shared configuration."`
	Policy     policyCmd     `cmd:"" help:"Check, test and benchmark policy programs, which needs no box; read and change the policies of the platform."`
	Keys       keyCmd        `cmd:"" name:"key" help:"Issue, list and revoke operators' keys on the platform."`
	Quarantine quarantineCmd `cmd:"" help:"Show and lift what is sent to no endpoint because it crashes endpoints."`
	Drain      drainCmd      `cmd:"" help:"Make a box finish its running requests and exit."`

	out io.Writer
	err io.Writer
}

// callTimeout bounds one call to a box.
const callTimeout = 10 * time.Second

// Main runs the tool and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	a := &app{out: out, err: errOut}
	parser, err := kong.New(a, kong.Name("stoatramp"), kong.Writers(out, errOut),
		kong.Description("The operators' command-line tool of the stoatramp router."))
	if err != nil {
		fmt.Fprintln(errOut, "stoatramp:", err)
		return exitUsage
	}
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "stoatramp:", err)
		return exitUsage
	}
	if err := k.Run(a); err != nil {
		fmt.Fprintln(errOut, "stoatramp:", err)
		return exitCode(err)
	}
	return exitOK
}

func exitCode(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	if connect.CodeOf(err) == connect.CodeNotFound {
		return exitNotFound
	}
	return exitFailed
}

// client returns a client for the first box given with --box.
func (a *app) client() stoatrampv1connect.OperatorClient { return a.clientFor(a.Box[0]) }

func (a *app) clientFor(box string) stoatrampv1connect.OperatorClient {
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+a.Key)
			return next(ctx, r)
		}
	})
	return stoatrampv1connect.NewOperatorClient(&http.Client{Timeout: callTimeout, Transport: newTransport()}, box, connect.WithInterceptors(auth))
}

// newTransport returns the transport of calls to boxes. It uses the proxy of the environment.
func newTransport() http.RoundTripper {
	return httphead.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, IdleConnTimeout: time.Minute}, nil)
}

// printIfJSON prints a message as JSON if --json was given. The bool reports whether it was given.
func (a *app) printIfJSON(m proto.Message) (bool, error) {
	if !a.JSON {
		return false, nil
	}
	b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return true, err
	}
	return true, a.printJSON(b)
}

// printValueAsJSON prints a value that is not a message of a box as JSON.
func (a *app) printValueAsJSON(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.printJSON(b)
}

func (a *app) printJSON(b []byte) error {
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		return err
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

type whyCmd struct {
	ID string `arg:"" help:"The request id, from the X-Request-Id header."`
}

func (c *whyCmd) Run(a *app) error {
	resp, err := c.findRecord(a)
	if err != nil {
		return err
	}
	if a.JSON {
		return a.printJSON([]byte(resp.Msg.RecordJson))
	}
	for _, s := range resp.Msg.Sentences {
		fmt.Fprintln(a.out, s)
	}
	return nil
}

// findRecord asks the boxes one after another for the record of a request, until one box has the record. If no box has
// it, findRecord returns the first error that is not "not found". If all boxes say "not found", it returns that error.
func (c *whyCmd) findRecord(a *app) (*connect.Response[v1.WhyResponse], error) {
	var failed error
	for _, box := range a.Box {
		resp, err := a.clientFor(box).Why(context.Background(), connect.NewRequest(&v1.WhyRequest{Id: c.ID}))
		if err == nil {
			return resp, nil
		}
		if failed == nil || connect.CodeOf(failed) == connect.CodeNotFound {
			failed = err
		}
	}
	return nil, failed
}

type statusCmd struct{}

func (c *statusCmd) Run(a *app) error {
	resp, err := a.client().Status(context.Background(), connect.NewRequest(&v1.StatusRequest{}))
	if err != nil {
		return err
	}
	if done, err := a.printIfJSON(resp.Msg); done {
		return err
	}
	return printStatus(a.out, resp.Msg)
}

type drainCmd struct{}

func (c *drainCmd) Run(a *app) error {
	resp, err := a.client().Drain(context.Background(), connect.NewRequest(&v1.DrainRequest{}))
	if err != nil {
		return err
	}
	if done, err := a.printIfJSON(resp.Msg); done {
		return err
	}
	_, err = fmt.Fprintf(a.out, "The box takes no new work and has %d requests to finish.\n", resp.Msg.Running)
	return err
}
