// Package bench measures the router, in a simulation and with real processes on loopback. Production code does not use
// it. A box is a machine that runs the router. A site is a set of engines with a platform, all of them simulated or
// stand-ins.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/internal/demo"
	"github.com/stoatramp/stoatramp/internal/platform"
)

// SiteCmd runs a site in a process of its own, with stand-ins for the engines and the platform.
type SiteCmd struct {
	Dir       string        `arg:"" help:"Directory that box.ini and site.json are written to."`
	Prefills  int           `default:"4" help:"Prefill engines."`
	Decodes   int           `default:"6" help:"Decode engines."`
	Step      time.Duration `default:"10ms" help:"Time between tokens."`
	Callers   string        `default:"127.0.0.1:0" help:"The box's caller address."`
	Operators string        `default:"127.0.0.1:0" help:"The box's operator address."`
	Boxes     int           `help:"Also write settings for this many boxes, box1.ini and so on."`
	FirstPort int           `default:"18100" help:"The first port; each of these boxes takes two."`
	Admin     string        `default:"127.0.0.1:18099" help:"Address of the site's admin interface, for faults and reports."`
}

// siteFile is the content of site.json, from which LoadCmd reads the addresses of the engines.
type siteFile struct {
	Prefills []string `json:"prefills"`
	Decodes  []string `json:"decodes"`
}

// Run starts the site and serves until the process is told to stop by a signal.
func (c *SiteCmd) Run() error {
	m := demo.DefaultModel()
	m.Step, m.StepPerStream = c.Step, 0
	m.PrefillRate, m.PrefillBase = 1e6, 0
	m.KVTokens = 10_000_000
	site, err := demo.Start(context.Background(), demo.Options{
		Prefills: c.Prefills, Decodes: c.Decodes, Model: m, Callers: c.Callers, Operators: c.Operators,
		Route: "first_token = 20s\nbetween_tokens = 1s",
	})
	if err != nil {
		return err
	}
	defer site.Close()
	var f siteFile
	for _, e := range site.Prefills {
		f.Prefills = append(f.Prefills, e.Addr)
	}
	for _, e := range site.Decodes {
		f.Decodes = append(f.Decodes, e.Addr)
	}
	b, err := json.Marshal(f)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Dir+"/site.json", b, 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(c.Dir+"/box.ini", []byte(site.Settings), 0o600); err != nil {
		return err
	}
	admin := &siteAdmin{site: site}
	srv := &http.Server{Addr: c.Admin, Handler: admin, ReadHeaderTimeout: time.Second}
	defer srv.Close()
	go func() { _ = srv.ListenAndServe() }()
	for i := range c.Boxes {
		name := fmt.Sprintf("box%d", i+1)
		text := site.SettingsAt(name, fmt.Sprintf("127.0.0.1:%d", c.FirstPort+2*i), fmt.Sprintf("127.0.0.1:%d", c.FirstPort+2*i+1))
		if err := os.WriteFile(c.Dir+"/"+name+".ini", []byte(text), 0o600); err != nil {
			return err
		}
		admin.boxes = append(admin.boxes, platform.BoxInfo{Name: name, Address: fmt.Sprintf("127.0.0.1:%d", c.FirstPort+2*i+1)})
	}
	site.Platform.SetBoxes(admin.boxes)
	fmt.Println("ready")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	return nil
}
