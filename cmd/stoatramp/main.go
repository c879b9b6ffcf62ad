// Command stoatramp is the operators' tool. It talks to any box.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"connectrpc.com/connect"
	"github.com/alecthomas/kong"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
)

type cli struct {
	Box string `help:"Base URL of a box's operators' address." env:"STOATRAMP_BOX" default:"http://127.0.0.1:8081"`
	Key string `help:"The operators' key." env:"STOATRAMP_KEY"`
	Why whyCmd `cmd:"" help:"Say what became of a request and why."`
}

func (c *cli) client() stoatrampv1connect.OperatorClient {
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+c.Key)
			return next(ctx, r)
		}
	})
	return stoatrampv1connect.NewOperatorClient(http.DefaultClient, c.Box, connect.WithInterceptors(auth))
}

type whyCmd struct {
	ID string `arg:"" help:"The request id, from the X-Request-Id header."`
}

func (w *whyCmd) Run(c *cli) error {
	resp, err := c.client().Why(context.Background(), connect.NewRequest(&v1.WhyRequest{Id: w.ID}))
	if err != nil {
		return err
	}
	for _, s := range resp.Msg.Sentences {
		fmt.Println(s)
	}
	return nil
}

func main() {
	c := &cli{}
	k := kong.Parse(c, kong.Name("stoatramp"), kong.Description("The operators' tool of the stoatramp router."))
	if err := k.Run(c); err != nil {
		fmt.Fprintln(os.Stderr, "stoatramp:", err)
		os.Exit(1)
	}
}
