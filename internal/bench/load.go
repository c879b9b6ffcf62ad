package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/demo"
	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/standin"
)

// LoadCmd compares streams through a box (a machine that runs the router) with streams sent directly to the engines.
type LoadCmd struct {
	Dir       string        `arg:"" help:"The directory of a running site."`
	Callers   string        `default:"127.0.0.1:18080" help:"The box's caller address."`
	Operators string        `default:"127.0.0.1:18081" help:"The box's operator address."`
	Streams   int           `default:"200" help:"Concurrent streams."`
	Tokens    int           `default:"100" help:"Tokens of each answer."`
	Rounds    int           `default:"3" help:"Rounds through the box and directly, alternating."`
	Ready     time.Duration `default:"10s" help:"How long to wait for the box to become ready."`
	Idle      time.Duration `help:"How long to measure the box's control traffic while it is idle; 0 skips it."`

	hc   *http.Client
	eng  *engine.Client
	site siteFile
	n    atomic.Int64
}

// measurement collects the results of the streams that were sent in one way, through the box or directly.
type measurement struct {
	mu          sync.Mutex
	firstTokens []time.Duration
	tokens      int
	broken      int
}

// Run measures both ways alternately and prints the comparison.
func (c *LoadCmd) Run() error {
	b, err := os.ReadFile(c.Dir + "/site.json")
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, &c.site); err != nil {
		return err
	}
	c.hc = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}
	c.eng = engine.NewClient()
	if err := c.awaitBox(); err != nil {
		return err
	}
	if c.Idle > 0 {
		if err := c.measureIdle(); err != nil {
			return err
		}
	}
	idle, err := c.readProcessStats()
	if err != nil {
		return err
	}
	var direct, routed measurement
	c.round(&measurement{}, c.direct)
	c.round(&measurement{}, c.routed)
	before, err := c.readProcessStats()
	if err != nil {
		return err
	}
	peak := 0.0
	for range c.Rounds {
		c.round(&direct, c.direct)
		peak = max(peak, c.roundWithPeakRSS(&routed))
	}
	after, err := c.readProcessStats()
	if err != nil {
		return err
	}
	c.report(&direct, &routed, after.cpu-before.cpu, idle.rss, peak)
	return nil
}

func (c *LoadCmd) report(direct, routed *measurement, cpu, idleRSS, peakRSS float64) {
	fmt.Printf("%d streams at a time, %d tokens each, %d rounds each way; broken or wrong answers: direct %d, through the box %d\n",
		c.Streams, c.Tokens, c.Rounds, direct.broken, routed.broken)
	for _, p := range []float64{0.50, 0.99} {
		d, r := quantile(direct.firstTokens, p), quantile(routed.firstTokens, p)
		fmt.Printf("first token p%.0f: direct %.3f ms, through the box %.3f ms, added %.3f ms, ratio %.3f\n",
			p*100, ms(d), ms(r), ms(r-d), float64(r)/float64(d))
	}
	fmt.Printf("box CPU: %.2f us a streamed token, all its costs included\n", cpu*1e6/float64(routed.tokens))
	fmt.Printf("box memory: %.1f MB idle, %.1f MB at the peak, %.1f KB a stream\n", idleRSS/1e6, peakRSS/1e6, (peakRSS-idleRSS)/1e3/float64(c.Streams))
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }

func quantile(v []time.Duration, p float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(p*float64(len(v))))]
}

// round sends all streams once and waits until they have ended. Their starts are staggered, so that they don't all
// generate tokens at the same moments.
func (c *LoadCmd) round(s *measurement, call func(context.Context, string) (time.Duration, int, error)) {
	var wg sync.WaitGroup
	for i := range c.Streams {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			prompt := fmt.Sprintf("question %d of many", c.n.Add(1))
			first, n, err := call(context.Background(), prompt)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.tokens += n
			if err != nil {
				s.broken++
				return
			}
			s.firstTokens = append(s.firstTokens, first)
		})
	}
	wg.Wait()
}

// roundWithPeakRSS sends all streams once through the box, and returns the highest memory use of the box's process.
func (c *LoadCmd) roundWithPeakRSS(s *measurement) float64 {
	done := make(chan struct{})
	peak := make(chan float64, 1)
	go func() {
		most := 0.0
		for {
			if p, err := c.readProcessStats(); err == nil {
				most = max(most, p.rss)
			}
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	c.round(s, c.routed)
	close(done)
	return <-peak
}

// completionBody returns the request body of a streamed completion.
func completionBody(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, demo.Model, prompt, tokens)
}

var errBadAnswer = errors.New("the answer is incomplete or belongs to another request")

// routed sends a request to the box. It returns the time to the first token and the number of tokens.
func (c *LoadCmd) routed(ctx context.Context, prompt string) (time.Duration, int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Callers+engine.CompletionPath, strings.NewReader(completionBody(prompt, c.Tokens)))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+demo.ClientKey)
	start := time.Now()
	resp, err := c.hc.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	var first time.Duration
	var text strings.Builder
	n := 0
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if text.String() != standin.Answer(prompt, c.Tokens) {
				return first, n, errBadAnswer
			}
			return first, n, nil
		}
		if n == 0 {
			first = time.Since(start)
		}
		n++
		text.WriteString(chunkText(data))
	}
	return first, n, errBadAnswer
}

func chunkText(data string) string {
	var v struct{ Choices []struct{ Text string } }
	if json.Unmarshal([]byte(data), &v) != nil || len(v.Choices) == 0 {
		return ""
	}
	return v.Choices[0].Text
}

// direct sends the prefill and the decode of a request to engines without a box. It takes the engines in turn. It
// returns the time to the first token and the number of tokens.
func (c *LoadCmd) direct(ctx context.Context, prompt string) (time.Duration, int, error) {
	i := int(c.n.Add(1))
	start := time.Now()
	call := engine.Call{
		Address: c.site.Prefills[i%len(c.site.Prefills)], Path: engine.CompletionPath, RequestID: fmt.Sprintf("direct-%d-1", i),
		MaxTokens: c.Tokens,
	}
	rest, err := directBody(prompt)
	if err != nil {
		return 0, 0, err
	}
	call.CallerFields = rest
	pre, err := c.eng.Prefill(ctx, call)
	if err != nil {
		return 0, 0, err
	}
	call.Address, call.RequestID = c.site.Decodes[i%len(c.site.Decodes)], fmt.Sprintf("direct-%d-2", i)
	s, err := c.eng.Decode(ctx, call, pre.KV)
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	var first time.Duration
	var text strings.Builder
	n := 0
	err = s.Read(func(chunk engine.Chunk) error {
		if !chunk.HasChoices {
			return nil
		}
		if n == 0 {
			first = time.Since(start)
		}
		n++
		text.WriteString(chunkText(chunk.Data))
		return nil
	})
	if err == nil && text.String() != standin.Answer(prompt, c.Tokens) {
		err = errBadAnswer
	}
	return first, n, err
}

func directBody(prompt string) ([]byte, error) {
	return json.Marshal(map[string]string{"model": demo.Model, "prompt": prompt})
}

func (c *LoadCmd) awaitBox() error {
	for end := time.Now().Add(c.Ready); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := c.hc.Get("http://" + c.Callers + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the box did not become ready")
}

// measureIdle measures what a box costs while no requests run: its traffic with engines and platform, and its CPU time.
func (c *LoadCmd) measureIdle() error {
	time.Sleep(time.Second) // Wait until the box has finished starting.
	before, err := c.readProcessStats()
	if err != nil {
		return err
	}
	time.Sleep(c.Idle)
	after, err := c.readProcessStats()
	if err != nil {
		return err
	}
	s := c.Idle.Seconds()
	fmt.Printf("control of an idle box before %d engines: %.0f bytes a second on the wire, %.2f%% of a core, %.1f MB\n",
		len(c.site.Prefills)+len(c.site.Decodes), (after.control-before.control)/s, 100*(after.cpu-before.cpu)/s, after.rss/1e6)
	return nil
}

// processStats are metrics of a box's process: CPU seconds, memory in bytes, and bytes of control traffic.
type processStats struct{ cpu, rss, control float64 }

func (c *LoadCmd) readProcessStats() (processStats, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.Operators+"/metrics", nil)
	if err != nil {
		return processStats{}, err
	}
	req.Header.Set("Authorization", "Bearer "+demo.OperatorKey)
	resp, err := c.hc.Do(req)
	if err != nil {
		return processStats{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return processStats{}, err
	}
	return processStats{cpu: parseMetric(string(b), "process_cpu_seconds_total"), rss: parseMetric(string(b), "process_resident_memory_anon_bytes"), control: parseMetric(string(b), "stoatramp_control_bytes_total")}, nil
}

func parseMetric(text, name string) float64 {
	for line := range strings.SplitSeq(text, "\n") {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.ParseFloat(v, 64)
			return n
		}
	}
	return 0
}
