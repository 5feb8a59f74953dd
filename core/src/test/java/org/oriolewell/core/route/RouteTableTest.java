package org.oriolewell.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against requests that reach another route's service or another workspace. */
class RouteTableTest {
  private static final CallerLimits LIMITS =
      new CallerLimits(1000, 1000, Duration.ofSeconds(1), Duration.ofSeconds(1));

  private static Route route(String prefix, boolean anonymous, Route.Target... targets) {
    return new Route(
        prefix,
        "host.example",
        prefix,
        RequestKind.IDEMPOTENT,
        Duration.ofSeconds(2),
        Duration.ofSeconds(1),
        1,
        2,
        List.of(targets),
        List.of(),
        anonymous,
        false,
        Duration.ZERO);
  }

  private static final Route.Target ONE = new Route.Target("one", 1);

  @Test
  void longestPrefixThatBeginsPathWins() {
    Route outer = route("/a/", false, ONE);
    Route inner = route("/a/b/", false, ONE);
    RouteTable table = RouteTable.of(1, List.of(outer, inner), List.of(), null, LIMITS);

    assertThat(table.match("host.example", "/a/b/c")).contains(inner);
    assertThat(table.match("HOST.example:80", "/a/bc")).contains(outer);
    assertThat(table.match("host.example", "/a")).isEmpty();
    assertThat(table.match("other.example", "/a/b/c")).isEmpty();
  }

  @Test
  void keyBelongsToItsWorkspace() {
    Workspace workspace = new Workspace("desk", 2);
    RouteTable table =
        RouteTable.of(
            1,
            List.of(route("/a/", true, ONE), route("/b/", false, ONE)),
            List.of(),
            Map.of("k", workspace),
            LIMITS);

    assertThat(table.workspace("k")).contains(workspace);
    assertThat(table.workspace("x")).isEmpty();
    assertThat(table.needsKey(route("/a/", true, ONE))).isFalse();
    assertThat(table.needsKey(route("/b/", false, ONE))).isTrue();
  }

  @Test
  void trafficIsSplitByWeight() {
    Route split = route("/a/", false, new Route.Target("big", 90), new Route.Target("small", 10));
    int big = 0;
    for (int i = 0; i < 10_000; i++) {
      big += split.serviceFor(Integer.hashCode(i) * 0x9E3779B9).equals("big") ? 1 : 0;
    }

    assertThat(big).isBetween(8700, 9300);
  }
}
