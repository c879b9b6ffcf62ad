package main

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/demo"
	"github.com/stoatramp/stoatramp/platform/standin"
)

type demoCmd struct {
	Callers   string `help:"The box's caller address." default:"127.0.0.1:0"`
	Operators string `help:"The box's operator address." default:"127.0.0.1:0"`
	Platform  bool   `help:"Run the box on a stand-in of the platform."`
}

func (c *demoCmd) Run() error {
	if c.Platform {
		return c.runPlatform()
	}
	site, err := demo.Start(context.Background(), demo.Options{
		Prefills: 2, Decodes: 3, Model: demo.DefaultModel(), Callers: c.Callers, Operators: c.Operators,
	})
	if err != nil {
		return err
	}
	defer site.Close()
	cfg, err := config.ParseBox("demo", []byte(site.Settings))
	if err != nil {
		return err
	}
	b, err := newBox(cfg)
	if err != nil {
		return err
	}
	fmt.Printf(demoText, b.Callers, b.Operators, b.Callers, demo.ClientKey, demo.Model, b.Operators, demo.OperatorKey)
	return b.Run()
}

const demoText = `stoatramp demo: 2 prefill engines, 3 decode engines and a booking service, all stand-ins.
callers:   http://%s
operators: http://%s

Try:
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"%s","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Did unit 7 pass?"}]}'

Then, with the X-Request-Id of the answer (curl -i shows it):
  bin/stoatramp --box http://%s --key %s why ID

Ctrl-C drains the box and exits.

`

// runPlatform runs a box with stand-ins of the platform: a store, 2 workers of a plain service, and 2 prefill and 3
// decode engines.
func (c *demoCmd) runPlatform() error {
	store := standin.NewStore()
	storeAddress, err := serve(store)
	if err != nil {
		return err
	}
	store.Put("op", "config", []byte(demoPlatformConfig), 0)
	stop := make(chan struct{})
	defer close(stop)
	for i, stage := range []string{"", "", "prefill", "prefill", "decode", "decode", "decode"} {
		o := standin.WorkerOptions{
			ID: fmt.Sprintf("i-%d", i+1), Service: "desk", Zone: "malaga-hall", Stage: stage, Slots: 32,
			KVTokens: 90000, WorkMS: 20, StepMS: 10, HandleMS: 500, Store: storeAddress, HeartbeatMS: 1200,
		}
		if stage != "" {
			o.Service = "verdicts"
		}
		w := standin.NewWorker(o)
		address, err := serve(w)
		if err != nil {
			return err
		}
		w.SetAddress(address)
		go w.SendHeartbeats(stop)
	}
	cfg, err := config.ParseRelay("demo", fmt.Appendf(nil, demoPlatformSettings, c.Callers, c.Operators, config.KeyDigest(demo.OperatorKey), storeAddress))
	if err != nil {
		return err
	}
	b, err := newRelay(cfg, newLogger())
	if err != nil {
		return err
	}
	fmt.Printf(demoPlatformText, b.Callers, b.Operators, b.Callers, b.Operators, demo.OperatorKey)
	return b.Run()
}

// serve serves h on a free loopback port until the process exits. It returns the address.
func serve(h http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(lis, h) }()
	return lis.Addr().String(), nil
}

const demoPlatformSettings = `[box]
name = box1
region = perth
hall = malaga-hall
[callers]
listen = %s
[readiness]
listen = 127.0.0.1:0
[operators]
listen = %s
key_sha256 = %s
[store]
address = %s
`

const demoPlatformConfig = `{"version":1,"routes":[
{"name":"booking","hostname":"lab.example","pathPrefix":"/bookings/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"service":"desk","maxAttempts":2,"priority":1},
{"name":"verdict","hostname":"lab.example","pathPrefix":"/verdicts/","kind":"stream","resumable":true,"timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300,"service":"verdicts","maxAttempts":2,"priority":0}],
"services":[{"name":"desk"},{"name":"verdicts","engine":{"slots":32,"kvTokens":90000,"tokenKvBytes":18432,"linkMbps":1000000,"handleTtlS":0.5,"holdMs":2000,"stride":10}}],
"limits":{"maxBodyBytes":1000000}}`

const demoPlatformText = `stoatramp demo: a store, 2 workers of a plain service, 2 prefill and 3 decode engines, all stand-ins.
callers:   http://%s
operators: http://%s

Try:
  curl -N -i http://%s/verdicts/unit-7 -H 'Host: lab.example' -H 'X-Request-Id: unit-7' -H 'X-Token-Usage: 1200,50' -d 'did it pass?'
  bin/stoatramp --box http://%s --key %s why unit-7

Ctrl-C drains the box and exits.

`
