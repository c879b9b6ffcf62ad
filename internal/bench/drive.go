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

// DriveCmd sends load to several boxes (machines that run the router) as callers behind a load balancer do. It checks
// every answer and counts the outcomes.
type DriveCmd struct {
	Name      string        `arg:"" help:"Name of this phase in the output."`
	Boxes     int           `default:"8"`
	FirstPort int           `default:"18100"`
	Callers   int           `default:"40" help:"Concurrent callers."`
	Tokens    int           `default:"100" help:"Tokens of each answer."`
	Length    time.Duration `default:"20s"`
	Once      float64       `default:"0.2" help:"Share of requests that may run only once and have an idempotency key."`
	Admin     string        `default:"127.0.0.1:18099"`

	hc    *http.Client
	ready atomic.Pointer[[]string]
	salt  uint64

	mu      sync.Mutex
	counts  outcomeCounts
	once    map[uint64]bool // Hashes of the prompts of requests that may run only once.
	slowest time.Duration
}

// outcomeCounts counts how the requests ended.
type outcomeCounts struct {
	Complete      int // Answered completely and with the right content.
	Wrong         int // Answered with an end marker, but with other content.
	CutOff        int // The stream ended without its end marker.
	Refused       int // No box ran the request: each box that was tried refused it.
	Unknown       int // It is not known whether the request ran, so it was not sent again.
	AnsweredTwice int // Two requests with the same idempotency key were both answered.
	Resent        int // Sent again after a box had refused the request as not run.
	Reasons       map[string]int
}

var (
	errNotRun      = errors.New("not run")
	errUnknown     = errors.New("may have run")
	errCut         = errors.New("cut off")
	errWrongAnswer = errors.New("a complete answer with the wrong content")
)

// Run sends load for the given length and prints the counts.
func (c *DriveCmd) Run() error {
	c.hc = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
	c.once, c.salt = map[uint64]bool{}, rand.Uint64()
	c.counts.Reasons = map[string]int{}
	ctx, cancel := context.WithTimeout(context.Background(), c.Length)
	defer cancel()
	c.refreshReady()
	go func() {
		for ctx.Err() == nil {
			c.refreshReady()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	var wg sync.WaitGroup
	for i := range c.Callers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.runRequest(i, n)
			}
		})
	}
	wg.Wait()
	return c.report()
}

// refreshReady stores the addresses of the boxes that are ready. It asks each box, as the platform's load balancer
// does.
func (c *DriveCmd) refreshReady() {
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

// runRequest sends one request. While boxes refuse the request as not run, it sends the request again.
func (c *DriveCmd) runRequest(caller, n int) {
	prompt := fmt.Sprintf("%x caller %d question %d", c.salt, caller, n)
	once := rand.Float64() < c.Once
	if once {
		raw, _ := json.Marshal(prompt)
		c.mu.Lock()
		c.once[standin.PromptHash(raw)] = true
		c.mu.Unlock()
	}
	const maxAttempts = 20
	var err error
	start := time.Now()
	for range maxAttempts {
		err = c.send(prompt, once)
		if !errors.Is(err, errNotRun) {
			break
		}
		c.count(func(d *outcomeCounts) { d.Resent++ })
		time.Sleep(50 * time.Millisecond)
	}
	if err == nil && once {
		// Act like a caller that has lost its answer: send the request again with the same idempotency key. A box must
		// not answer this second request.
		if again := c.send(prompt, true); again == nil {
			c.count(func(d *outcomeCounts) { d.AnsweredTwice++ })
		}
	}
	c.mu.Lock()
	c.slowest = max(c.slowest, time.Since(start))
	c.mu.Unlock()
	c.count(func(d *outcomeCounts) {
		switch {
		case err == nil:
			d.Complete++
		case errors.Is(err, errWrongAnswer):
			d.Wrong++
		case errors.Is(err, errCut):
			d.CutOff++
		case errors.Is(err, errNotRun):
			d.Refused++
		default:
			d.Unknown++
		}
	})
}

func (c *DriveCmd) count(fn func(*outcomeCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(&c.counts)
}

// send sends a request to one of the boxes that are ready, selected at random.
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
			return errNotRun // No process listens at the address, so the request was not sent.
		}
		return errUnknown
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c.classifyRefusal(resp)
	}
	return c.readAnswer(resp, prompt)
}

func (c *DriveCmd) classifyRefusal(resp *http.Response) error {
	var e struct {
		Error struct{ Reason, Run string }
	}
	_ = json.NewDecoder(resp.Body).Decode(&e)
	c.count(func(d *outcomeCounts) { d.Reasons[e.Error.Reason]++ })
	if e.Error.Run == "not_run" && !strings.HasPrefix(e.Error.Reason, "key_") {
		return errNotRun
	}
	return errUnknown
}

func (c *DriveCmd) readAnswer(resp *http.Response, prompt string) error {
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
			return errWrongAnswer
		}
		return nil
	}
	return errCut
}

// report waits until the engines have freed all memory, for up to 15 seconds. It then prints the counts and the memory
// that is still reserved. It also prints how many requests ran twice although they may run only one time.
func (c *DriveCmd) report() error {
	var rep siteReport
	start := time.Now()
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
		if rep.PrefillResults+rep.DecodeTokens == 0 || time.Now().After(end) {
			break
		}
	}
	ranTwice := 0
	for p := range c.once {
		if rep.Prompts[p] > 1 {
			ranTwice++
		}
	}
	d := c.counts
	fmt.Printf("%s: whole %d, wrong %d, cut off %d, refused by all %d, may have run %d; keys answered twice %d; run-once requests run twice %d of %d; tried on another box %d; slowest %.1f s; all engine memory free %.1f s after the last answer (held: %d results, %d tokens); refusals %v\n",
		c.Name, d.Complete, d.Wrong, d.CutOff, d.Refused, d.Unknown, d.AnsweredTwice, ranTwice, len(c.once), d.Resent, c.slowest.Seconds(), time.Since(start).Seconds(), rep.PrefillResults, rep.DecodeTokens, d.Reasons)
	return nil
}
