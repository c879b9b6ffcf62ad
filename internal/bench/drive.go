package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/demo"
	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/standin"
)

// DriveCmd loads several boxes as callers behind a balancer do, checks every
// answer, and says what became of the requests.
type DriveCmd struct {
	Name      string        `arg:"" help:"What to call this phase in the output."`
	Boxes     int           `default:"8"`
	FirstPort int           `default:"18100"`
	Callers   int           `default:"40" help:"Callers at a time."`
	Tokens    int           `default:"100" help:"Tokens of each answer."`
	Length    time.Duration `default:"20s"`
	Once      float64       `default:"0.2" help:"Share of requests that may run once and have a key."`
	Admin     string        `default:"127.0.0.1:18099"`

	hc    *http.Client
	ready atomic.Pointer[[]string]
	salt  uint64

	mu     sync.Mutex
	counts driveCounts
	once   map[uint64]bool // Prompts that may run once, by hash.
	worst  time.Duration
}

// driveCounts is what became of the requests of a phase.
type driveCounts struct {
	Whole   int // Answered whole, its own answer.
	Wrong   int // Ended like a whole answer and was not.
	Cut     int // Broken in the middle, plainly.
	Refused int // Refused as not run by every box tried.
	Unknown int // May have run; not tried again.
	Doubled int // One key answered twice.
	Tries   int // Sent again to another box after a refusal as not run.
	Reasons map[string]int
}

var (
	errNotRun  = errors.New("not run")
	errUnknown = errors.New("may have run")
	errCut     = errors.New("cut off")
	errForged  = errors.New("not its own whole answer")
)

// Run drives one phase.
func (c *DriveCmd) Run() error {
	c.hc = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
	c.once, c.salt = map[uint64]bool{}, rand.Uint64()
	c.counts.Reasons = map[string]int{}
	ctx, cancel := context.WithTimeout(context.Background(), c.Length)
	defer cancel()
	c.balance()
	go func() {
		for ctx.Err() == nil {
			c.balance()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	var wg sync.WaitGroup
	for i := range c.Callers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.one(i, n)
			}
		})
	}
	wg.Wait()
	return c.report()
}

// balance finds the boxes that are ready, as the platform's balancer does.
func (c *DriveCmd) balance() {
	var ready []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range c.Boxes {
		wg.Go(func() {
			addr := fmt.Sprintf("127.0.0.1:%d", c.FirstPort+2*i)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
			if err != nil {
				return
			}
			resp, err := c.hc.Do(req)
			if err != nil {
				return
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				ready = append(ready, addr)
			}
		})
	}
	wg.Wait()
	slices.Sort(ready)
	c.ready.Store(&ready)
}

// one sends one request, to another box as long as it was not run.
func (c *DriveCmd) one(caller, n int) {
	prompt := fmt.Sprintf("%x caller %d question %d", c.salt, caller, n)
	once := rand.Float64() < c.Once
	if once {
		raw, _ := json.Marshal(prompt)
		c.mu.Lock()
		c.once[standin.PromptHash(raw)] = true
		c.mu.Unlock()
	}
	const tries = 20
	var err error
	start := time.Now()
	for range tries {
		err = c.send(prompt, once)
		if !errors.Is(err, errNotRun) {
			break
		}
		c.count(func(d *driveCounts) { d.Tries++ })
		time.Sleep(50 * time.Millisecond)
	}
	if err == nil && once {
		// A caller that lost its answer asks again: the key must not be answered twice.
		if again := c.send(prompt, true); again == nil {
			c.count(func(d *driveCounts) { d.Doubled++ })
		}
	}
	c.mu.Lock()
	c.worst = max(c.worst, time.Since(start))
	c.mu.Unlock()
	c.count(func(d *driveCounts) {
		switch {
		case err == nil:
			d.Whole++
		case errors.Is(err, errForged):
			d.Wrong++
		case errors.Is(err, errCut):
			d.Cut++
		case errors.Is(err, errNotRun):
			d.Refused++
		default:
			d.Unknown++
		}
	})
}

func (c *DriveCmd) count(fn func(*driveCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(&c.counts)
}

// send asks one ready box.
func (c *DriveCmd) send(prompt string, once bool) error {
	ready := *c.ready.Load()
	if len(ready) == 0 {
		return errNotRun
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+ready[rand.IntN(len(ready))]+engine.CompletionPath, strings.NewReader(completionBody(prompt, c.Tokens)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+demo.ClientKey)
	if once {
		req.Header.Set("Stoatramp-Repeatable", "no")
		req.Header.Set("Idempotency-Key", prompt)
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		if strings.Contains(err.Error(), "refused") {
			return errNotRun // Nobody listens there any more.
		}
		return errUnknown
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c.refusal(resp)
	}
	return c.read(resp, prompt)
}

func (c *DriveCmd) refusal(resp *http.Response) error {
	var e struct {
		Error struct{ Reason, Run string }
	}
	_ = json.NewDecoder(resp.Body).Decode(&e)
	c.count(func(d *driveCounts) { d.Reasons[e.Error.Reason]++ })
	if e.Error.Run == "not_run" && !strings.HasPrefix(e.Error.Reason, "key_") {
		return errNotRun
	}
	return errUnknown
}

func (c *DriveCmd) read(resp *http.Response, prompt string) error {
	var text strings.Builder
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data != "[DONE]" {
			text.WriteString(chunkText(data))
			continue
		}
		if text.String() != standin.Answer(prompt, c.Tokens) {
			return errForged
		}
		return nil
	}
	return errCut
}

// report prints the counts, and what the engines saw and still hold.
func (c *DriveCmd) report() error {
	var rep siteReport
	freed := time.Now()
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		resp, err := c.hc.Get("http://" + c.Admin + "/report")
		if err != nil {
			return err
		}
		rep = siteReport{}
		err = json.NewDecoder(resp.Body).Decode(&rep)
		resp.Body.Close()
		if err != nil {
			return err
		}
		if rep.Results+rep.Tokens == 0 || time.Now().After(end) {
			break
		}
	}
	twice := 0
	for p := range c.once {
		if rep.Prompts[p] > 1 {
			twice++
		}
	}
	d := c.counts
	fmt.Printf("%s: whole %d, wrong %d, cut off %d, refused by all %d, may have run %d; keys answered twice %d; run-once requests run twice %d of %d; tried on another box %d; slowest %.1f s; all engine memory free %.1f s after the last answer (held: %d results, %d tokens); refusals %v\n",
		c.Name, d.Whole, d.Wrong, d.Cut, d.Refused, d.Unknown, d.Doubled, twice, len(c.once), d.Tries, c.worst.Seconds(), time.Since(freed).Seconds(), rep.Results, rep.Tokens, d.Reasons)
	return nil
}
