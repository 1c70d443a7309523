package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// ask sends a streaming request to the first node, as a client does, and records its answer. The answer has the given number of tokens, of which
// the client expects as many as its hint says. It returns the status, the number of
// the last event and whether the answer was whole.
func ask(b *bed, path, id string, tokens, hint int) (status, last int, whole bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+b.nodes[0].callers+path, strings.NewReader("a festival"))
	if err != nil {
		panic(err)
	}
	r.Host = "desk.example"
	for name, value := range map[string]string{
		"Attempt-Id": id, "Model": "m", "Token-Counts": fmt.Sprintf("900,%d", tokens), "Prompt-Prefix": "5c1e07a2:80," + id + ":820",
		"Deadline-Ms": "39000", "Authorization": "Token key-of-the-village", "Length-Hint": fmt.Sprint(hint),
	} {
		r.Header.Set(name, value)
	}
	b.rec.add(id, "client", "sends it to %s", b.nodes[0].name)
	client := &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		b.rec.add(id, "client", "gets no answer: %v", err)
		return 0, 0, false
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		n := 0
		if _, err := fmt.Sscanf(lines.Text(), "id: %d", &n); err == nil {
			if n != last+1 {
				b.rec.add(id, "client", "gets event %d after event %d", n, last)
			}
			last = n
		}
	}
	b.rec.add(id, "client", "gets %d, events up to %d, error %v", resp.StatusCode, last, lines.Err())
	return resp.StatusCode, last, lines.Err() == nil
}
