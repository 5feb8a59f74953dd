package org.oriolewell.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.wire.Message;

/**
 * Tells the other gateways what this one has observed about upstreams and about what crashes them,
 * and passes on what they have observed. An observation is sent when it is made, and once more to
 * each gateway that connects while it is recent. It may be lost, or arrive repeatedly or late.
 *
 * <p>Used on the event loop only.
 */
final class ObservationExchange implements PeerMesh.ObservationListener {
  /** Age up to which a gateway that connects is sent an observation. */
  private static final Duration REPLAY_TIME = Duration.ofSeconds(60);

  /** Most own observations that are kept for gateways that connect; the oldest are dropped. */
  private static final int MAX_KEPT = 256;

  /** What an observation is about. The order is part of the protocol. */
  enum Kind {
    /** The subject, one start of an upstream, crashed; the details list the requests there. */
    UPSTREAM_CRASHED,
    /** A request with the subject was answered soundly. */
    SUBJECT_ANSWERED,
    /** The subject is in quarantine; the value is the time until a trial in ms. */
    SUBJECT_QUARANTINED,
    /**
     * The subject, one start of an upstream, has named the value as its limit in requests a second,
     * or none if the value is negative.
     */
    UPSTREAM_LIMITED
  }

  private static final Kind[] KINDS = Kind.values();

  private record Kept(Message.Observation observation, long madeAt) {}

  private final EventLoop loop;
  private final PeerMesh mesh;
  private final String gatewayName;
  private final Map<Kind, Consumer<Message.Observation>> receivers = new EnumMap<>(Kind.class);
  private final Deque<Kept> kept = new ArrayDeque<>();

  ObservationExchange(EventLoop loop, PeerMesh mesh, String gatewayName) {
    this.loop = loop;
    this.mesh = mesh;
    this.gatewayName = gatewayName;
  }

  /** Sets the receiver of the other gateways' observations of a kind. */
  void receive(Kind kind, Consumer<Message.Observation> receiver) {
    receivers.put(kind, receiver);
  }

  /** Sends an observation of this gateway to all others. */
  void publish(Kind kind, String subject, double value, List<String> details) {
    Message.Observation observation = observation(kind, subject, value, details);
    kept.addLast(new Kept(observation, loop.now()));
    if (kept.size() > MAX_KEPT) {
      kept.removeFirst();
    }
    mesh.broadcast(observation, true);
  }

  /** Sends an observation that no longer holds to no gateway that connects later. */
  void withdraw(Kind kind, String subject) {
    kept.removeIf(
        entry ->
            entry.observation().kind() == kind.ordinal()
                && entry.observation().subject().equals(subject));
  }

  /** Sends an observation of this gateway to one other; it is lost if that isn't connected. */
  void send(String receiver, Kind kind, String subject, double value) {
    mesh.send(receiver, observation(kind, subject, value, List.of()));
  }

  private Message.Observation observation(
      Kind kind, String subject, double value, List<String> details) {
    return new Message.Observation(kind.ordinal(), subject, gatewayName, 0, value, details);
  }

  @Override
  public void onObservation(Message.Observation observation) {
    if (observation.kind() >= 0 && observation.kind() < KINDS.length) {
      Consumer<Message.Observation> receiver = receivers.get(KINDS[observation.kind()]);
      if (receiver != null) {
        receiver.accept(observation);
      }
    }
  }

  @Override
  public List<Message.Observation> currentObservations() {
    long now = loop.now();
    kept.removeIf(entry -> now - entry.madeAt() > REPLAY_TIME.toNanos());
    return kept.stream()
        .map(
            entry ->
                new Message.Observation(
                    entry.observation().kind(),
                    entry.observation().subject(),
                    entry.observation().origin(),
                    GatewayComponents.millisBetween(entry.madeAt(), now),
                    entry.observation().value(),
                    entry.observation().details()))
        .toList();
  }
}
