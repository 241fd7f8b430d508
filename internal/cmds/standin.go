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

	"github.com/lagoontrail/lagoon/internal/simcfg"
	"github.com/lagoontrail/lagoon/internal/simplt"
	"github.com/lagoontrail/lagoon/internal/simsrv"
)

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a simulated platform or simulated servers", Example: "  lagoontrail standin platform --config examples/tour/platform.json"}
	c.AddCommand(
		standinSubcommand("platform", "Run a simulated platform", runPlatform),
		standinSubcommand("server", "Run simulated servers", runServers),
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

// platformFile is the settings file of a simulated platform.
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
	p := simplt.New()
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

// serverFile is the settings file of simulated servers.
type serverFile struct {
	Servers []struct {
		Name     string `json:"name"`
		Addr     string `json:"addr"`
		Slots    int    `json:"slots"`
		MaxConns int    `json:"conns"`
	} `json:"servers"`
	MeanLatencyMS     float64 `json:"mean_ms"`
	ConnectMS         float64 `json:"open_ms"`
	StragglerFraction float64 `json:"straggle"`
	StragglerFactor   float64 `json:"straggle_factor"`
	WarmUpPerSlot     int     `json:"warm_per_slot"`
}

func runServers(ctx context.Context, data []byte) error {
	var f serverFile
	if err := json.Unmarshal(data, &f); err != nil {
		return errors.Wrap(err, "decode the settings")
	}
	for _, s := range f.Servers {
		var config simcfg.Config
		config.SetName(s.Name)
		config.SetSlots(s.Slots)
		config.SetMaxConns(s.MaxConns)
		config.SetMeanLatency(time.Duration(f.MeanLatencyMS * float64(time.Millisecond)))
		config.SetConnectTime(time.Duration(f.ConnectMS * float64(time.Millisecond)))
		config.SetStragglerFraction(f.StragglerFraction)
		config.SetStragglerFactor(f.StragglerFactor)
		config.SetWarmUpPerSlot(f.WarmUpPerSlot)
		server := simsrv.New(config)
		server.RestartInPlace()
		stop, err := server.Start(s.Addr)
		if err != nil {
			return err
		}
		defer stop()
		fmt.Fprintf(os.Stderr, "simulated server %s is listening on %s\n", s.Name, server.Addr())
	}
	<-ctx.Done()
	return nil
}
