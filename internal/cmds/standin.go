package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/lagoontrail/lagoon/internal/stdplt"
	"github.com/lagoontrail/lagoon/internal/stdshp"
	"github.com/lagoontrail/lagoon/internal/stdsrv"
)

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in for the platform or for servers", Example: "  lagoontrail standin platform --config examples/tour/platform.json"}
	c.AddCommand(
		standinSubcommand("platform", "Run the platform's stand-in", runPlatform),
		standinSubcommand("server", "Run stand-in servers", runServers),
	)
	return c
}

func standinSubcommand(use, short string, run func(ctx context.Context, data []byte) error) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use: use, Short: short, Example: "  lagoontrail standin " + use + " --config examples/tour/" + use + ".json", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			data, err := os.ReadFile(path)
			if err != nil {
				return errors.Wrap(err, "read the settings")
			}
			return run(c.Context(), data)
		},
	}
	c.Flags().StringVar(&path, "config", "", "the settings file, in JSON")
	_ = c.MarkFlagRequired("config")
	return c
}

// platformFile holds the settings of the platform's stand-in.
type platformFile struct {
	Listen    string `json:"listen"`
	Instances []struct {
		Name string `json:"name"`
		Addr string `json:"addr"`
		Zone string `json:"zone"`
	} `json:"instances"`
}

func runPlatform(ctx context.Context, data []byte) error {
	var f platformFile
	if err := json.Unmarshal(data, &f); err != nil {
		return errors.Wrap(err, "decode the settings")
	}
	p := stdplt.New()
	for _, in := range f.Instances {
		p.AddInstance(in.Name, in.Addr, in.Zone)
	}
	srv := &http.Server{Addr: f.Listen, Handler: p, ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- srv.ListenAndServe() }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "platform")
	case <-ctx.Done():
		return srv.Close()
	}
}

// serverFile holds the settings of stand-in servers.
type serverFile struct {
	Servers []struct {
		Name  string `json:"name"`
		Addr  string `json:"addr"`
		Slots int    `json:"slots"`
		Conns int    `json:"conns"`
	} `json:"servers"`
	MeanMS         float64 `json:"mean_ms"`
	OpenMS         float64 `json:"open_ms"`
	Straggle       float64 `json:"straggle"`
	StraggleFactor float64 `json:"straggle_factor"`
	WarmPerSlot    int     `json:"warm_per_slot"`
}

func runServers(ctx context.Context, data []byte) error {
	var f serverFile
	if err := json.Unmarshal(data, &f); err != nil {
		return errors.Wrap(err, "decode the settings")
	}
	for _, s := range f.Servers {
		var shape stdshp.Shape
		shape.SetName(s.Name)
		shape.SetSlots(s.Slots)
		shape.SetConns(s.Conns)
		shape.SetMean(time.Duration(f.MeanMS * float64(time.Millisecond)))
		shape.SetOpen(time.Duration(f.OpenMS * float64(time.Millisecond)))
		shape.SetStraggle(f.Straggle)
		shape.SetStraggleFactor(f.StraggleFactor)
		shape.SetWarmPerSlot(f.WarmPerSlot)
		server := stdsrv.New(shape)
		server.MakeCold()
		stop, err := server.Start(s.Addr)
		if err != nil {
			return err
		}
		defer stop()
		fmt.Fprintf(os.Stderr, "stand-in server %s is listening on %s\n", s.Name, server.Addr())
	}
	<-ctx.Done()
	return nil
}
