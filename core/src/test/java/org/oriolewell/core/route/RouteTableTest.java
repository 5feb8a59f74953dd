package org.oriolewell.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks that requests reach the service of their route and belong to the key's workspace. */
class RouteTableTest {
  private static final CallerLimits CALLER_LIMITS =
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

  private static final Route.Target TARGET_ONE = new Route.Target("one", 1);

  @Test
  void routeWithLongestMatchingPrefixIsChosen() {
    Route outerRoute = route("/a/", false, TARGET_ONE);
    Route innerRoute = route("/a/b/", false, TARGET_ONE);
    RouteTable table =
        RouteTable.of(1, List.of(outerRoute, innerRoute), List.of(), null, CALLER_LIMITS);

    assertThat(table.match("host.example", "/a/b/c")).contains(innerRoute);
    assertThat(table.match("HOST.example:80", "/a/bc")).contains(outerRoute);
    assertThat(table.match("host.example", "/a")).isEmpty();
    assertThat(table.match("other.example", "/a/b/c")).isEmpty();
  }

  @Test
  void keyBelongsToItsWorkspace() {
    Workspace workspace = new Workspace("desk", 2);
    RouteTable table =
        RouteTable.of(
            1,
            List.of(route("/a/", true, TARGET_ONE), route("/b/", false, TARGET_ONE)),
            List.of(),
            Map.of("k", workspace),
            CALLER_LIMITS);

    assertThat(table.workspace("k")).contains(workspace);
    assertThat(table.workspace("x")).isEmpty();
    assertThat(table.needsKey(route("/a/", true, TARGET_ONE))).isFalse();
    assertThat(table.needsKey(route("/b/", false, TARGET_ONE))).isTrue();
  }

  @Test
  void trafficIsSplitByWeight() {
    Route splitRoute =
        route("/a/", false, new Route.Target("big", 90), new Route.Target("small", 10));
    int bigCount = 0;
    for (int i = 0; i < 10_000; i++) {
      bigCount += splitRoute.serviceFor(Integer.hashCode(i) * 0x9E3779B9).equals("big") ? 1 : 0;
    }

    assertThat(bigCount).isBetween(8700, 9300);
  }
}
