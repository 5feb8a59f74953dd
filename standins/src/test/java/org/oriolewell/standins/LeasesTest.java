package org.oriolewell.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.log.EventLog;

/** Guards against leases that outlive their time or keep their keys. */
class LeasesTest {
  private final AtomicReference<Instant> now = new AtomicReference<>(Instant.EPOCH);
  private final StoreValues values = new StoreValues();
  private final Leases leases = new Leases(now::get, values, EventLog.of("test", now::get));

  @Test
  void removesTheKeysOfAnExpiredLease() {
    String lease = leases.grant(Duration.ofSeconds(1));
    values.compareAndSet("k", 0, new byte[0], Optional.of(lease));
    now.set(Instant.ofEpochMilli(900));
    assertThat(leases.renew(lease)).isTrue();
    now.set(Instant.ofEpochMilli(1800));
    leases.expire();
    assertThat(values.get("k")).isPresent();

    now.set(Instant.ofEpochMilli(1900));
    leases.expire();
    assertThat(values.get("k")).isEmpty();
    assertThat(leases.renew(lease)).isFalse();
  }
}
