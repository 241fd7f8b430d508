// Package htapi serves callers and operators over HTTP.
//
// # Usage
//
//	api := htapi.New(handler, control, journal, metrics)
//	api.SetAddr("127.0.0.1:7101")
//	api.SetPeerHandler(link.Handler(receive))
//	err := api.Serve(ctx)
//
// It decodes requests, passes them to the handler or the control state, and
// encodes the results; docs/INTERFACES.md describes the API. Another front end
// can use the same handler and control state.
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

// Limits of requests.
const (
	maxBodyBytes      = 1 << 20
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 10 * time.Second
	shutdownTimeout   = 10 * time.Second // for requests that are still running
)

// API is a lagoon.FrontEnd over HTTP. Create it with New.
type API struct {
	handler     lagoon.Handler
	control     *world.World
	journal     *journl.Journal
	metrics     *metric.Metrics
	codec       wire.Codec
	addr        string
	peerHandler http.Handler
	addressTTL  time.Duration
	listener    net.Listener
}

// New returns the HTTP front end of a node.
func New(handler lagoon.Handler, control *world.World, journal *journl.Journal, metrics *metric.Metrics) *API {
	return &API{handler: handler, control: control, journal: journal, metrics: metrics}
}

// SetAddr sets the address to listen on.
func (a *API) SetAddr(addr string) { a.addr = addr }

// SetPeerHandler sets the handler of connections from other nodes.
func (a *API) SetPeerHandler(h http.Handler) { a.peerHandler = h }

// SetAddressTTL sets how long callers may cache the list of addresses.
func (a *API) SetAddressTTL(ttl time.Duration) { a.addressTTL = ttl }

// Listen opens the port. Serve does so too; call Listen first to get its error
// before serving.
func (a *API) Listen() error {
	listener, err := net.Listen("tcp", a.addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	a.listener = listener
	return nil
}

// Serve serves requests until ctx is done, then shuts down gracefully: running
// requests have shutdownTimeout to finish.
func (a *API) Serve(ctx context.Context) error {
	if a.listener == nil {
		if err := a.Listen(); err != nil {
			return err
		}
	}
	srv := &http.Server{Handler: a.routes(), ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(a.listener) }()
	select {
	case err := <-served:
		a.listener = nil
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(shutdownCtx); err != nil {
		_ = srv.Close()
	}
	<-served
	return ctx.Err()
}

func (a *API) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", a.addresses)
	mux.HandleFunc("POST /v1/query", a.query)
	mux.HandleFunc("GET /v1/resources", a.listResources)
	mux.HandleFunc("GET /v1/resources/{kind}/{name}", a.getResource)
	mux.HandleFunc("PUT /v1/resources/{kind}/{name}", a.changeResource)
	mux.HandleFunc("DELETE /v1/resources/{kind}/{name}", a.changeResource)
	mux.HandleFunc("GET /v1/watch", a.watch)
	mux.HandleFunc("GET /v1/actions", a.actions)
	mux.HandleFunc("GET /v1/explain/{kind}/{name}", a.explain)
	mux.HandleFunc("GET /v1/status", a.status)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.Handle("GET /metrics", a.metrics.Handler())
	if a.peerHandler != nil {
		mux.Handle(plink.Path, a.peerHandler)
	}
	return mux
}
