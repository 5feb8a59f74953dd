package org.oriolewell.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Which upstream last said that it holds a prompt prefix. Events are late and have gaps: after a
 * gap in an upstream's sequence all its older claims are dropped. Routing uses a claim only as a
 * hint.
 */
final class CacheIndex {
  private final Map<Long, Claim> claims;
  private final Map<String, Feed> feeds = new HashMap<>();

  CacheIndex(int capacity) {
    this.claims =
        new LinkedHashMap<>(64, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Claim> eldest) {
            return size() > capacity;
          }
        };
  }

  void apply(CacheEvent event, long now) {
    Feed feed = feeds.computeIfAbsent(event.upstream(), name -> new Feed());
    if (event.sequence() <= feed.sequence) {
      return;
    }
    if (event.sequence() != feed.sequence + 1) {
      feed.epoch++;
    }
    feed.sequence = event.sequence();
    Claim claim = claims.get(event.prefix());
    if (event.stored()) {
      claims.put(event.prefix(), new Claim(event.upstream(), feed.epoch, now));
    } else if (claim != null && claim.upstream().equals(event.upstream())) {
      claims.remove(event.prefix());
    }
  }

  /** Forgets what an upstream said, since it restarted. */
  void forget(String upstream) {
    feeds.remove(upstream);
    claims.values().removeIf(claim -> claim.upstream().equals(upstream));
  }

  /** Returns the upstream that holds a prefix as far as events say; null if none does. */
  @Nullable String holder(long prefix, long now, long lifetimeNanos) {
    Claim claim = claims.get(prefix);
    if (claim == null || now - claim.at() > lifetimeNanos) {
      return null;
    }
    Feed feed = feeds.get(claim.upstream());
    return feed != null && feed.epoch == claim.epoch() ? claim.upstream() : null;
  }

  private record Claim(String upstream, long epoch, long at) {}

  private static final class Feed {
    private long sequence;
    private long epoch;
  }
}
