package org.oriolewell.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.config.ConfigPeer;
import org.oriolewell.runtime.log.RuntimeEvent;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.RefusalKind;
import org.oriolewell.runtime.wire.WireConnection;
import org.oriolewell.runtime.wire.WireException;

/** One connection from an entry or another agent, with the calls that came over it. */
final class Dialer implements WireConnection.Listener {
  /** Room for the fields of a frame beside its payload, in bytes. */
  static final int FRAME_OVERHEAD = 1024;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final AgentContext context;
  private final AgentService service;
  private final Map<Long, ActiveCall> calls = new HashMap<>();
  private @Nullable WireConnection connection;
  private String peer = "";
  private @Nullable ConfigPeer configPeer;
  private volatile boolean closed;
  private Instant lastHeard;
  private long pingSequence;

  Dialer(AgentContext context, AgentService service) {
    this.context = context;
    this.service = service;
    lastHeard = context.clock().instant();
  }

  @Override
  public void onOpened(WireConnection opened) {
    context
        .loop()
        .execute(
            () -> {
              connection = opened;
              service.opened(this);
              send(service.hello());
            });
  }

  @Override
  public void onMessage(WireConnection from, Message message) {
    context.loop().execute(() -> handle(message));
  }

  @Override
  public void onClosed(WireConnection from, @Nullable Throwable cause) {
    context.loop().execute(() -> closed(cause));
  }

  private void closed(@Nullable Throwable cause) {
    if (closed) {
      return;
    }
    closed = true;
    if (cause instanceof WireException) {
      context
          .log()
          .event(RuntimeEvent.CONNECTION_PROTOCOL_ERROR)
          .with("peer", peer)
          .cause(cause)
          .write();
    }
    service.closed(this);
    if (configPeer != null) {
      context.config().disconnected(configPeer);
    }
    List.copyOf(calls.values()).forEach(ActiveCall::cancel);
    calls.clear();
  }

  /** Sends a message if the connection is still open. */
  void send(Message message) {
    if (connection != null && !closed) {
      connection.send(message);
    }
  }

  private void handle(Message message) {
    if (closed) {
      return;
    }
    lastHeard = context.clock().instant();
    if (message instanceof Message.Hello hello) {
      greeted(hello);
    } else if (peer.isEmpty()) {
      violate("the first message is not HELLO");
    } else if (message instanceof Message.Call call) {
      begin(call);
    } else if (message instanceof Message.Ping ping) {
      heardVersion(ping.configVersion());
      send(service.pong(ping));
    } else if (message instanceof Message.Settle question) {
      service.nonIdempotent().settle(this, question);
    } else if (message instanceof Message.Query query) {
      send(new Message.QueryResult(query.id(), service.answer(query.question())));
    } else if (!handleForCall(message) && !handleForConfig(message)) {
      violate("a dialer must not send " + message.getClass().getSimpleName());
    }
  }

  private boolean handleForCall(Message message) {
    if (message instanceof Message.Credit credit) {
      if (credit.frames() <= 0) {
        violate("a CREDIT message carries " + credit.frames() + " frames");
      } else {
        withCall(credit.stream(), call -> call.credit(credit.frames()));
      }
    } else if (message instanceof Message.Cancel cancel) {
      withCall(cancel.stream(), ActiveCall::cancel);
    } else if (message instanceof Message.Grant grant) {
      withCall(grant.stream(), ActiveCall::granted);
    } else if (message instanceof Message.Deny deny) {
      withCall(deny.stream(), ActiveCall::denied);
    } else {
      return false;
    }
    return true;
  }

  private boolean handleForConfig(Message message) {
    if (message instanceof Message.Pong pong) {
      heardVersion(pong.configVersion());
      return true;
    }
    return configPeer != null && context.config().received(configPeer, message);
  }

  /** Runs an action for a call; a call that has just ended may still be named by the dialer. */
  private void withCall(long stream, Consumer<ActiveCall> action) {
    ActiveCall call = calls.get(stream);
    if (call != null) {
      action.accept(call);
    }
  }

  private void greeted(Message.Hello hello) {
    if (hello.version() != Message.PROTOCOL_VERSION || hello.process().isEmpty()) {
      violate("the peer speaks protocol version " + hello.version());
    } else {
      peer = hello.process();
      configPeer = peer(hello.region());
      context.config().connected(configPeer, hello.configVersion());
    }
  }

  private ConfigPeer peer(String region) {
    return new ConfigPeer() {
      @Override
      public String region() {
        return region;
      }

      @Override
      public boolean send(Message message) {
        context.loop().execute(() -> Dialer.this.send(message));
        return !closed;
      }
    };
  }

  private void heardVersion(long version) {
    if (configPeer != null) {
      context.config().versionReceived(configPeer, version);
    }
  }

  private void violate(String problem) {
    WireException violation = new WireException(problem);
    if (connection != null) {
      connection.close();
    }
    closed(violation);
  }

  private void begin(Message.Call message) {
    if (calls.containsKey(message.stream())) {
      violate("stream " + message.stream() + " is in use");
      return;
    }
    if (service.draining()) {
      refuse(
          message,
          Refusal.notRun(RefusalKind.STOPPING, "this agent is draining; use another upstream"));
      return;
    }
    UpstreamCall call = read(message);
    Optional<Refusal> refusal =
        call == null || message.idempotent()
            ? Optional.empty()
            : service.nonIdempotent().check(call);
    if (refusal.isPresent()) {
      refuse(message, refusal.get());
    } else if (call != null) {
      ActiveCall active =
          message.idempotent()
              ? new IdempotentCall(context, this, call)
              : service.nonIdempotent().create(this, call);
      calls.put(message.stream(), active);
      active.start();
    }
  }

  /** Returns a checked call, or null after its refusal. */
  private @Nullable UpstreamCall read(Message.Call message) {
    JsonNode payload;
    try {
      payload = JSON.readTree(message.payload());
    } catch (IOException e) {
      refuse(message, Refusal.notRun(RefusalKind.INVALID, "the payload is not JSON"));
      return null;
    }
    if (message.remainingMillis() <= 0) {
      refuse(message, Refusal.notRun(RefusalKind.DEADLINE_EXCEEDED, "the call has no time left"));
      return null;
    }
    UpstreamCall call =
        new UpstreamCall(
            message, payload, context.config().stage(message.pipeline(), message.stage()));
    String problem =
        message.credits() < 0 || message.resumeFrom() < 0
            ? "credits and resume position must not be negative"
            : context.upstream().check(call);
    if (!problem.isEmpty()) {
      refuse(message, Refusal.notRun(RefusalKind.INVALID, problem));
      return null;
    }
    return call;
  }

  /** Ends a call with its answer. */
  void answer(Message.Call call, byte[] output, long count) {
    calls.remove(call.stream());
    context.metrics().answered();
    send(new Message.Result(call.stream(), output, count, service.load()));
    service.callEnded();
  }

  /** Ends a call without an answer. */
  void refuse(Message.Call call, Refusal refusal) {
    calls.remove(call.stream());
    context.metrics().refused(refusal);
    AgentEvent event =
        refusal.kind() == RefusalKind.CANCELED ? AgentEvent.CALL_CANCELED : AgentEvent.CALL_REFUSED;
    if (context.log().enabled(event)) {
      logRefusal(event, call, refusal);
    }
    send(
        new Message.Refused(
            call.stream(),
            refusal.kind(),
            refusal.outcome(),
            refusal.detail(),
            refusal.retryAfter().toMillis(),
            service.load()));
    service.callEnded();
  }

  private void logRefusal(AgentEvent event, Message.Call call, Refusal refusal) {
    Message.Load load = service.load();
    context
        .log()
        .event(event)
        .with("request", call.requestId())
        .with("stage", call.stage())
        .with("workspace", call.workspace())
        .with("firm", call.firm())
        .with("priority", call.priority())
        .with("remaining_ms", call.remainingMillis())
        .with("kind", refusal.kind())
        .with("outcome", refusal.outcome())
        .with("detail", refusal.detail())
        .with("in_flight", load.inFlight())
        .with("queued", load.queued())
        .with("limit", load.limit())
        .write();
  }

  /** Takes note that a call ended whose dialer had been answered before. */
  void callEnded() {
    service.callEnded();
  }

  /** Returns the number of calls that have not ended. */
  int callCount() {
    return calls.size();
  }

  /** Pings a quiet peer that has calls in flight, and disconnects it if it stays silent. */
  void checkLiveness(Duration heartbeat, Duration timeout) {
    Duration silence = Duration.between(lastHeard, context.clock().instant());
    if (calls.isEmpty() || closed) {
      return;
    }
    if (silence.compareTo(timeout) > 0) {
      context.log().event(AgentEvent.DIALER_SILENT).with("peer", peer).write();
      if (connection != null) {
        connection.close();
      }
      closed(null);
    } else if (silence.compareTo(heartbeat) >= 0) {
      send(new Message.Ping(pingSequence++, context.config().current().version(), service.load()));
    }
  }
}
