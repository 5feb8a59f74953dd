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

/**
 * The agent's side of one connection from an entry or another agent, with the calls received over
 * it. State is used on the agent's loop only.
 */
final class Dialer implements WireConnection.Listener {
  /** Bytes of a frame that are reserved for fields other than the payload. */
  static final int FRAME_OVERHEAD_BYTES = 1024;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final AgentContext context;
  private final AgentService service;
  private final Map<Long, ActiveCall> callsByStream = new HashMap<>();
  private @Nullable WireConnection connection;
  private String peerProcess = "";
  private @Nullable ConfigPeer configPeer;
  private volatile boolean closed;
  private Instant lastReceivedAt;
  private long nextPingSequence;

  Dialer(AgentContext context, AgentService service) {
    this.context = context;
    this.service = service;
    lastReceivedAt = context.clock().instant();
  }

  @Override
  public void onOpened(WireConnection opened) {
    context
        .loop()
        .execute(
            () -> {
              connection = opened;
              service.connectionOpened(this);
              send(service.hello());
            });
  }

  @Override
  public void onMessage(WireConnection from, Message message) {
    context.loop().execute(() -> handleMessage(message));
  }

  @Override
  public void onClosed(WireConnection from, @Nullable Throwable cause) {
    context.loop().execute(() -> handleClosed(cause));
  }

  private void handleClosed(@Nullable Throwable cause) {
    if (closed) {
      return;
    }
    closed = true;
    if (cause instanceof WireException) {
      context
          .log()
          .event(RuntimeEvent.CONNECTION_PROTOCOL_ERROR)
          .with("peer", peerProcess)
          .cause(cause)
          .write();
    }
    service.connectionClosed(this);
    if (configPeer != null) {
      context.config().disconnected(configPeer);
    }
    List.copyOf(callsByStream.values()).forEach(ActiveCall::cancel);
    callsByStream.clear();
  }

  /** Sends a message to the dialer; does nothing if the connection is closed. */
  void send(Message message) {
    if (connection != null && !closed) {
      connection.send(message);
    }
  }

  private void handleMessage(Message message) {
    if (closed) {
      return;
    }
    lastReceivedAt = context.clock().instant();
    if (message instanceof Message.Hello hello) {
      handleHello(hello);
    } else if (peerProcess.isEmpty()) {
      closeOnViolation("the first message is not HELLO");
    } else if (message instanceof Message.Call call) {
      startCall(call);
    } else if (message instanceof Message.Ping ping) {
      reportPeerVersion(ping.configVersion());
      send(service.pong(ping));
    } else if (message instanceof Message.Settle request) {
      service.nonIdempotentCalls().settle(this, request);
    } else if (message instanceof Message.Query query) {
      send(new Message.QueryResult(query.id(), service.answerQuery(query.question())));
    } else if (!handleCallMessage(message) && !handleConfigMessage(message)) {
      closeOnViolation("a dialer must not send " + message.getClass().getSimpleName());
    }
  }

  private boolean handleCallMessage(Message message) {
    if (message instanceof Message.Credit credit) {
      if (credit.frames() <= 0) {
        closeOnViolation("a CREDIT message carries " + credit.frames() + " frames");
      } else {
        withCall(credit.stream(), call -> call.addCredits(credit.frames()));
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

  private boolean handleConfigMessage(Message message) {
    if (message instanceof Message.Pong pong) {
      reportPeerVersion(pong.configVersion());
      return true;
    }
    return configPeer != null && context.config().received(configPeer, message);
  }

  /** Runs an action on a call; does nothing for a call that ended before the dialer knew. */
  private void withCall(long stream, Consumer<ActiveCall> callAction) {
    ActiveCall call = callsByStream.get(stream);
    if (call != null) {
      callAction.accept(call);
    }
  }

  private void handleHello(Message.Hello hello) {
    if (hello.version() != Message.PROTOCOL_VERSION || hello.process().isEmpty()) {
      closeOnViolation("the peer speaks protocol version " + hello.version());
    } else {
      peerProcess = hello.process();
      configPeer = createConfigPeer(hello.region());
      context.config().connected(configPeer, hello.configVersion());
    }
  }

  private ConfigPeer createConfigPeer(String region) {
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

  private void reportPeerVersion(long version) {
    if (configPeer != null) {
      context.config().versionReceived(configPeer, version);
    }
  }

  private void closeOnViolation(String violation) {
    WireException protocolError = new WireException(violation);
    if (connection != null) {
      connection.close();
    }
    handleClosed(protocolError);
  }

  private void startCall(Message.Call message) {
    if (callsByStream.containsKey(message.stream())) {
      closeOnViolation("stream " + message.stream() + " is in use");
      return;
    }
    if (service.draining()) {
      refuse(
          message,
          Refusal.notRun(RefusalKind.STOPPING, "this agent is draining; use another upstream"));
      return;
    }
    UpstreamCall call = readCall(message);
    Optional<Refusal> refusal =
        call == null || message.idempotent()
            ? Optional.empty()
            : service.nonIdempotentCalls().check(call);
    if (refusal.isPresent()) {
      refuse(message, refusal.get());
    } else if (call != null) {
      ActiveCall activeCall =
          message.idempotent()
              ? new IdempotentCall(context, this, call)
              : service.nonIdempotentCalls().create(this, call);
      callsByStream.put(message.stream(), activeCall);
      activeCall.start();
    }
  }

  /** Reads and checks a call; returns null if it was refused as invalid or too late. */
  private @Nullable UpstreamCall readCall(Message.Call message) {
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

  /** Sends the answer of a call, which ends it. */
  void answer(Message.Call call, byte[] output, long tokenCount) {
    callsByStream.remove(call.stream());
    context.metrics().callAnswered();
    send(new Message.Result(call.stream(), output, tokenCount, service.load()));
    service.callEnded();
  }

  /** Sends the refusal of a call, which ends it. */
  void refuse(Message.Call call, Refusal refusal) {
    callsByStream.remove(call.stream());
    context.metrics().callRefused(refusal);
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

  /** Called when the upstream has ended a non-idempotent call. */
  void callEnded() {
    service.callEnded();
  }

  /** Returns the number of this connection's calls that have not ended. */
  int callCount() {
    return callsByStream.size();
  }

  /**
   * Checks whether a dialer with calls in flight still responds; called periodically.
   *
   * @param heartbeatInterval time without a message after which the dialer is pinged
   * @param silenceTimeout time without a message after which the dialer is disconnected
   */
  void checkLiveness(Duration heartbeatInterval, Duration silenceTimeout) {
    Duration silence = Duration.between(lastReceivedAt, context.clock().instant());
    if (callsByStream.isEmpty() || closed) {
      return;
    }
    if (silence.compareTo(silenceTimeout) > 0) {
      context.log().event(AgentEvent.DIALER_SILENT).with("peer", peerProcess).write();
      if (connection != null) {
        connection.close();
      }
      handleClosed(null);
    } else if (silence.compareTo(heartbeatInterval) >= 0) {
      send(
          new Message.Ping(
              nextPingSequence++, context.config().current().version(), service.load()));
    }
  }
}
