// Package repo keeps lagoontrail's objects on the platform.
//
// # Usage
//
//	r := repo.New(store)
//	cfg, version, err := r.Config(ctx)
//	err = r.PutConfig(ctx, next, version)
//
// It is the only place that knows the keys and the encoding of these objects.
// A conditional write whose reply was lost is settled by reading the object
// back: if it holds what was written, the write took effect.
package repo

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/wire"
)

// Keys of the objects.
const (
	configKey    = "lagoon/config"
	placementKey = "lagoon/placement"
	bucketKey    = "lagoon/claims/%03d"
)

// readBackEvery is the pause between two attempts to read a write back.
const readBackEvery = 100 * time.Millisecond

// Repo is a lagoon.Repository over a lagoon.Store.
type Repo struct {
	store lagoon.Store
	codec wire.Codec
}

// New returns a repository that keeps its objects in store.
func New(store lagoon.Store) *Repo { return &Repo{store: store} }

// Config reads the configuration.
func (r *Repo) Config(ctx context.Context) (lagoon.Config, uint64, error) {
	return get(ctx, r, configKey, r.codec.DecodeConfig)
}

// PutConfig writes the configuration if it still has the version.
func (r *Repo) PutConfig(ctx context.Context, c lagoon.Config, ifVersion uint64) error {
	data, err := r.codec.EncodeConfig(c)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	_, err = r.put(ctx, configKey, data, ifVersion)
	return err
}

// WatchConfig waits for a configuration after a version.
func (r *Repo) WatchConfig(ctx context.Context, after uint64) (lagoon.Config, uint64, error) {
	return watch(ctx, r, configKey, after, r.codec.DecodeConfig)
}

// Placement reads the placement.
func (r *Repo) Placement(ctx context.Context) (lagoon.Placement, uint64, error) {
	return get(ctx, r, placementKey, r.codec.DecodePlacement)
}

// PutPlacement writes the placement if it still has the version.
func (r *Repo) PutPlacement(ctx context.Context, p lagoon.Placement, ifVersion uint64) error {
	data, err := r.codec.EncodePlacement(p)
	if err != nil {
		return errors.Wrap(err, "encode placement")
	}
	_, err = r.put(ctx, placementKey, data, ifVersion)
	return err
}

// WatchPlacement waits for a placement after a version.
func (r *Repo) WatchPlacement(ctx context.Context, after uint64) (lagoon.Placement, uint64, error) {
	return watch(ctx, r, placementKey, after, r.codec.DecodePlacement)
}

// Bucket reads a claim bucket.
func (r *Repo) Bucket(ctx context.Context, number int) (lagoon.ClaimBucket, uint64, error) {
	return get(ctx, r, fmt.Sprintf(bucketKey, number), r.codec.DecodeBucket)
}

// PutBucket writes a claim bucket if it still has the version.
func (r *Repo) PutBucket(ctx context.Context, number int, b lagoon.ClaimBucket, ifVersion uint64) (uint64, error) {
	data, err := r.codec.EncodeBucket(b)
	if err != nil {
		return 0, errors.Wrap(err, "encode claim bucket")
	}
	return r.put(ctx, fmt.Sprintf(bucketKey, number), data, ifVersion)
}

// Instances reads the instance list.
func (r *Repo) Instances(ctx context.Context) ([]lagoon.Instance, error) {
	return r.store.Instances(ctx)
}

// put writes and, when the reply was lost, reads back until ctx ends.
func (r *Repo) put(ctx context.Context, key string, data []byte, ifVersion uint64) (uint64, error) {
	version, err := r.store.Put(ctx, key, data, ifVersion)
	if err == nil || !errors.Is(err, lagoon.ErrUnavailable) {
		return version, err
	}
	for {
		object, readErr := r.store.Get(ctx, key)
		switch {
		case readErr == nil && object.Version() == ifVersion+1 && bytes.Equal(object.Value(), data):
			return object.Version(), nil
		case readErr == nil && object.Version() > ifVersion:
			return 0, errors.Wrapf(lagoon.ErrConflict, "put %s after a lost reply", key)
		}
		// The object still has the old version, but the write may be on its
		// way and take effect later, so nothing is certain yet.
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(readBackEvery):
		}
	}
}

func get[V any](ctx context.Context, r *Repo, key string, decode func([]byte) (V, error)) (V, uint64, error) {
	var zero V
	object, err := r.store.Get(ctx, key)
	if errors.Is(err, lagoon.ErrNotFound) {
		return zero, 0, nil
	}
	if err != nil {
		return zero, 0, err
	}
	v, err := decode(object.Value())
	return v, object.Version(), err
}

func watch[V any](ctx context.Context, r *Repo, key string, after uint64, decode func([]byte) (V, error)) (V, uint64, error) {
	var zero V
	object, err := r.store.Watch(ctx, key, after)
	if err != nil {
		return zero, 0, err
	}
	v, err := decode(object.Value())
	return v, object.Version(), err
}
