package quota_test

import (
	"testing"

	"github.com/lagoontrail/lagoon/pkg/quota"
)

// TestBucket guards against buckets that exceed their limit, mint tokens when the clock goes
// back, or hand out fractions of tokens.
func TestBucket(t *testing.T) {
	var b quota.Bucket
	if got := b.Take(5); got != 0 {
		t.Errorf("empty bucket: got %d tokens, want 0", got)
	}
	b.Refill(0.35, 10, 20)
	if got := b.Take(5); got != 3 {
		t.Errorf("after 0.35 s at 10 per second: got %d tokens, want 3", got)
	}
	b.Refill(100, 10, 20)
	b.Refill(50, 10, 20)
	if got := b.Take(100); got != 20 {
		t.Errorf("after a long time: got %d tokens, want the limit of 20", got)
	}
	b.Refill(101, 10, 20)
	b.Refill(101, 10, 4)
	if got := b.Take(100); got != 4 {
		t.Errorf("after the limit fell: got %d tokens, want 4", got)
	}
	if got := b.Take(-1); got != 0 {
		t.Errorf("negative number: got %d tokens, want 0", got)
	}
}

// TestBucketSkipsTime guards against a bucket that is refilled for a time in which another one
// was in use.
func TestBucketSkipsTime(t *testing.T) {
	var b quota.Bucket
	b.Skip(99)
	b.Refill(100, 10, 1000)
	if got := b.Take(1000); got != 10 {
		t.Errorf("got %d tokens, want 10", got)
	}
}

// TestBucketRate guards against rounding that adds up: many small refills give the rate.
func TestBucketRate(t *testing.T) {
	var b quota.Bucket
	taken := 0
	for i := 1; i <= 1000; i++ {
		b.Refill(float64(i)*0.01, 33, 50)
		taken += b.Take(1)
	}
	if taken < 329 || taken > 330 {
		t.Errorf("10 s at 33 per second: got %d tokens, want 330", taken)
	}
}
