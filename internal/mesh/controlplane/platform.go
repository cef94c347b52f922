package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/usage"
)

const (
	platformTimeout = 2 * time.Second // of one call
	mostReply       = 64 << 10        // bytes of the platform's answer that are read
)

// platform is the operators' platform as the holder of a duty calls it.
type platform struct {
	address string // host:port
	node    string // the holder's machine, as it names itself
	client  http.Client
}

func newPlatform(address, node string) *platform {
	return &platform{address: address, node: node, client: http.Client{
		Transport:     &http.Transport{MaxConnsPerHost: 2, IdleConnTimeout: 30 * time.Second, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// report sends the report of a window under a fence. After is when the platform wants to be called
// again, 0 if it did not say.
func (p *platform) report(ctx context.Context, fence uint64, r *usage.Report) (result duties.Result, after time.Duration) {
	body, err := json.Marshal(r)
	if err != nil {
		panic(err) // plain fields always encode
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+"/usage", bytes.NewReader(body))
	if err != nil {
		return duties.CallUnknown, 0
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Duty-Holder", p.node)
	req.Header.Set("Fence-Number", strconv.FormatUint(fence, 10))
	resp, err := p.client.Do(req)
	if err != nil {
		p.client.CloseIdleConnections() // another connection may get through
		return duties.CallUnknown, 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, mostReply))
	switch {
	case resp.StatusCode/100 == 2:
		return duties.CallAccepted, 0
	case resp.StatusCode == http.StatusConflict:
		return duties.CallFenced, 0
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0 && seconds < 60) {
		return duties.CallUnknown, 0
	}
	return duties.CallUnknown, time.Duration(seconds * float64(time.Second))
}
