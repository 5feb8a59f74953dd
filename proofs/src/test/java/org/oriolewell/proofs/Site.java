package org.oriolewell.proofs;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigJson;
import org.oriolewell.core.config.FirmSpec;
import org.oriolewell.core.config.PipelineSpec;
import org.oriolewell.core.config.PoolSpec;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.core.config.UpstreamSpec;
import org.oriolewell.core.config.WorkspaceSpec;

/**
 * A small deployment on loopback: a store, one encoder, retriever, reranker and engine, several
 * permit services, an agent beside each, and two entries.
 */
final class Site implements AutoCloseable {
  final Fleet fleet;
  final Fleet.Member store;
  final List<Fleet.Member> services = new ArrayList<>();
  final List<Fleet.Member> serviceAgents = new ArrayList<>();
  final List<Fleet.Member> entries = new ArrayList<>();
  final List<Fleet.Member> stageAgents = new ArrayList<>();

  private static final String TOKEN = "operators-token";

  private final String storeUrl;
  private final List<String> agentAddresses = new ArrayList<>();
  private int hosts;

  private Site(String name) throws IOException {
    fleet = Fleet.in(name);
    store = fleet.standin("store", "store", "listen.port = 0\n");
    storeUrl = "http://" + store.address("store");
  }

  /** Starts a deployment and waits until its entries are ready. */
  static Site start(String name, int services) throws Exception {
    Site site = new Site(name);
    try {
      site.startMembers(services);
      return site;
    } catch (Exception e) {
      site.close();
      throw e;
    }
  }

  private void startMembers(int serviceCount) throws Exception {
    writeConfiguration(serviceCount);
    for (String pool : List.of("encoders", "retrievers", "rerankers")) {
      Fleet.Member upstream = fleet.standin("pool", pool, "listen.port = 0\n");
      stageAgents.add(agent(pool, "stage", upstream.address("pool")));
    }
    Fleet.Member engine = fleet.standin("engine", "engine", "step.base_ms = 2.0\n");
    stageAgents.add(agent("engines", "engine", engine.address("engine")));
    for (int i = 0; i < serviceCount; i++) {
      Fleet.Member service = fleet.standin("service", "permits-" + i, "listen.port = 0\n");
      services.add(service);
      serviceAgents.add(agent("permits", "service", service.address("service")));
    }
    for (Fleet.Member agent : stageAgents) {
      agentAddresses.add(agent.address("wire"));
    }
    for (Fleet.Member agent : serviceAgents) {
      agentAddresses.add(agent.address("wire"));
    }
    for (int i = 0; i < 2; i++) {
      entries.add(entry("entry-" + i));
    }
    for (Fleet.Member entry : entries) {
      Fleet.awaitOk("http://" + entry.address("operators") + "/ready");
    }
  }

  private Fleet.Member agent(String pool, String kind, String upstream) throws IOException {
    int number = ++hosts;
    return fleet.agent(
        "agent-" + pool + "-" + number,
        String.format(
            """
            host = "host-%d"
            firm = "gwifren"
            pool = "%s"
            zone = "cymru-a"
            region = "de-cymru"
            wire.port = 0
            operators.port = 0
            upstream.kind = "%s"
            upstream.url = "http://%s"
            store.url = "%s"
            """,
            number, pool, kind, upstream, storeUrl));
  }

  private Fleet.Member entry(String name) throws IOException {
    return fleet.entry(
        name,
        String.format(
            """
            entry.name = "%s"
            entry.zone = "cymru-a"
            entry.region = "de-cymru"
            callers.port = 0
            operators.port = 0
            store.url = "%s"
            agents.static = [%s]

            [[admin.tokens]]
            operator = "elin"
            rights = "change"
            workspaces = ["*"]
            token_sha256 = "%s"
            """,
            name,
            storeUrl,
            String.join(", ", agentAddresses.stream().map(a -> '"' + a + '"').toList()),
            Hashing.sha256().hashString(TOKEN, StandardCharsets.UTF_8)));
  }

  private void writeConfiguration(int serviceCount) throws Exception {
    ConfigDocument document =
        new ConfigDocument(
            ConfigDocument.SCHEMA,
            1,
            Map.of("gwifren", new FirmSpec(0.5), "trandafirul", new FirmSpec(0.5)),
            Map.of(
                "inspectors", new WorkspaceSpec("gwifren", 1, 5),
                "sellers", new WorkspaceSpec("trandafirul", 1, 5)),
            Map.of(
                "encoders", pool(PoolSpec.Kind.STAGE, 0),
                "retrievers", pool(PoolSpec.Kind.STAGE, 0),
                "rerankers", pool(PoolSpec.Kind.STAGE, 0),
                "engines", pool(PoolSpec.Kind.ENGINE, 0),
                "permits", pool(PoolSpec.Kind.SERVICE, serviceCount)),
            Map.of(
                "survey-draft",
                new PipelineSpec(
                    11_000,
                    List.of(
                        stage("encode", "encoders"),
                        stage("retrieve", "retrievers"),
                        stage("rerank", "rerankers"),
                        new StageSpec("generate", "engines", "generate", true, 1, "base", 20))),
                "record-permit",
                new PipelineSpec(
                    11_000,
                    List.of(new StageSpec("record", "permits", "record", false, 1, null, 0)))),
            Map.<String, UpstreamSpec>of(),
            List.of());
    HttpResponse<String> answer =
        Fleet.http(
            "PUT",
            storeUrl + "/v1/kv/config/document",
            new String(ConfigJson.write(document), StandardCharsets.UTF_8),
            "Expected-Revision",
            "0");
    if (answer.statusCode() != 200) {
      throw new IllegalStateException("the store refused the configuration: " + answer.body());
    }
  }

  private static PoolSpec pool(PoolSpec.Kind kind, int shards) {
    return new PoolSpec(kind, shards, List.of(503), true);
  }

  private static StageSpec stage(String name, String pool) {
    return new StageSpec(name, pool, name, true, 1, null, 0);
  }

  /** Sends a request to an entry. */
  HttpResponse<String> request(int entry, String body) throws Exception {
    return Fleet.http(
        "POST",
        "http://" + entries.get(entry).address("callers") + "/v1/requests",
        body,
        "Content-Type",
        "application/json");
  }

  /** Calls the admin API of an entry. */
  HttpResponse<String> admin(int entry, String method, String path, String body) throws Exception {
    return Fleet.http(
        method,
        "http://" + entries.get(entry).address("operators") + "/v1/admin/" + path,
        body,
        "Authorization",
        "Bearer " + TOKEN,
        "Content-Type",
        "application/json");
  }

  /** Returns a permit recording with an idempotency key. */
  static String permit(String key) {
    return "{\"pipeline\":\"record-permit\",\"workspace\":\"inspectors\",\"deadline_ms\":8000,"
        + "\"idempotency_key\":\""
        + key
        + "\",\"input\":{\"section\":7}}";
  }

  /** Returns how often the services ran a key, summed over all of them. */
  int executions(String key) throws Exception {
    int times = 0;
    for (Fleet.Member service : services) {
      JsonNode ledger =
          Fleet.json(
              Fleet.http(
                      "GET", "http://" + service.address("service") + "/executions?key=" + key, "")
                  .body());
      times += ledger.path("executions").size();
    }
    return times;
  }

  /** Sets faults of the store. */
  void storeFaults(String faults) throws Exception {
    Fleet.http("POST", storeUrl + "/faults", faults);
  }

  @Override
  public void close() {
    fleet.close();
  }
}
