// Package htapi is the HTTP front end for callers and operators.
//
// # Usage
//
//	api := htapi.New(handler, control, journal, metrics)
//	api.SetAddr("127.0.0.1:7101")
//	api.SetPeers(link.Accept(receive))
//	err := api.Serve(ctx)
//
// It only decodes requests, hands them on and encodes what comes back;
// docs/INTERFACES.md describes the API. Another front end would use the same
// Handler and the same control.
package htapi

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/journl"
	"github.com/lagoontrail/lagoon/internal/metric"
	"github.com/lagoontrail/lagoon/internal/plink"
	"github.com/lagoontrail/lagoon/internal/wire"
	"github.com/lagoontrail/lagoon/internal/world"
)

// Bounds of requests.
const (
	maxBody       = 1 << 20 // bytes of a request's body
	headerTimeout = 5 * time.Second
	readTimeout   = 10 * time.Second
	stopTimeout   = 10 * time.Second
)

// API is a lagoon.FrontEnd over HTTP. Make it with New.
type API struct {
	handler lagoon.Handler
	control *world.World
	journal *journl.Journal
	metrics *metric.Metrics
	codec   wire.Codec
	addr    string
	peers   http.Handler
	ttl     time.Duration
	ln      net.Listener
}

// New returns a front end for a node.
func New(handler lagoon.Handler, control *world.World, journal *journl.Journal, metrics *metric.Metrics) *API {
	return &API{handler: handler, control: control, journal: journal, metrics: metrics}
}

// SetAddr sets the address to listen on.
func (a *API) SetAddr(addr string) { a.addr = addr }

// SetPeers sets the handler for connections of other nodes.
func (a *API) SetPeers(h http.Handler) { a.peers = h }

// SetTTL sets how long callers may keep the list of addresses.
func (a *API) SetTTL(ttl time.Duration) { a.ttl = ttl }

// Listen opens the port, so that errors show before Serve.
func (a *API) Listen() error {
	ln, err := net.Listen("tcp", a.addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	a.ln = ln
	return nil
}

// Serve answers requests until ctx ends, then finishes those that run.
func (a *API) Serve(ctx context.Context) error {
	if a.ln == nil {
		if err := a.Listen(); err != nil {
			return err
		}
	}
	srv := &http.Server{Handler: a.routes(), ReadHeaderTimeout: headerTimeout}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(a.ln) }()
	select {
	case err := <-done:
		a.ln = nil
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := srv.Shutdown(limited); err != nil {
		_ = srv.Close()
	}
	<-done
	return ctx.Err()
}

func (a *API) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", a.addresses)
	mux.HandleFunc("POST /v1/query", a.query)
	mux.HandleFunc("GET /v1/resources", a.listResources)
	mux.HandleFunc("GET /v1/resources/{kind}/{name}", a.getResource)
	mux.HandleFunc("PUT /v1/resources/{kind}/{name}", a.putResource)
	mux.HandleFunc("DELETE /v1/resources/{kind}/{name}", a.putResource)
	mux.HandleFunc("GET /v1/watch", a.watch)
	mux.HandleFunc("GET /v1/actions", a.actions)
	mux.HandleFunc("GET /v1/explain/{kind}/{name}", a.explain)
	mux.HandleFunc("GET /v1/status", a.status)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.Handle("GET /metrics", a.metrics.Handler())
	if a.peers != nil {
		mux.Handle(plink.Path, a.peers)
	}
	return mux
}
