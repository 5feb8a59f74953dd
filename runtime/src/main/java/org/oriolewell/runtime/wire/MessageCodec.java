package org.oriolewell.runtime.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.oriolewell.runtime.wire.Message.Load;
import org.oriolewell.runtime.wire.Message.Outcome;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/**
 * Encodes messages as MessagePack arrays and decodes them. The first element is the number of the
 * message type; the components of the message's record follow in their order. Elements after the
 * known ones are ignored, so that a later minor version of the protocol may append fields.
 */
final class MessageCodec {
  private static final int HELLO = 1;
  private static final int CALL = 2;
  private static final int START = 3;
  private static final int GRANT = 4;
  private static final int DENY = 5;
  private static final int TOKENS = 6;
  private static final int CREDIT = 7;
  private static final int RESULT = 8;
  private static final int REFUSED = 9;
  private static final int CANCEL = 10;
  private static final int PING = 11;
  private static final int PONG = 12;
  private static final int CONFIG_REQUEST = 13;
  private static final int CONFIG_DELTA = 14;
  private static final int CONFIG_SNAPSHOT = 15;
  private static final int SETTLE = 16;
  private static final int SETTLED = 17;
  private static final int QUERY = 18;
  private static final int QUERY_RESULT = 19;
  private static final int STAGE_SUBMIT = 20;
  private static final int STAGE_RESULTS = 21;
  private static final int STAGE_CANCEL = 22;
  private static final int STAGE_RELEASE = 23;
  private static final int STAGE_LOAD_REPORT = 24;
  private static final int STAGE_ANNOUNCE = 25;
  private static final int OBSERVATION = 26;
  private static final int PERMIT_REQUEST = 27;
  private static final int PERMIT_REPLY = 28;
  private static final int COLD_PERMIT_REQUEST = 29;
  private static final int CAPACITY_REPORT = 30;
  private static final int CAPACITY_SUMS = 31;

  private MessageCodec() {}

  /** Encodes a message as a MessagePack array, without the length that precedes it in a frame. */
  static byte[] encode(Message message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      writeMessage(packer, message);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("a memory buffer failed", e);
    }
  }

  /**
   * Decodes a MessagePack array into a message.
   *
   * @throws WireException if the bytes are malformed or the message type is unknown
   */
  static Message decode(byte[] bytes) throws WireException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.unpackArrayHeader();
      return readMessage(unpacker);
    } catch (WireException e) {
      throw e;
    } catch (IOException | RuntimeException e) {
      throw new WireException("a frame of " + bytes.length + " bytes is malformed: " + e, e);
    }
  }

  private static void writeMessage(MessageBufferPacker out, Message message) throws IOException {
    if (message instanceof Message.Hello m) {
      writeHeader(out, 10, HELLO).packInt(m.version()).packString(m.process()).packString(m.role());
      out.packString(m.pool()).packString(m.zone()).packString(m.region());
      out.packLong(m.configVersion());
      writeShards(out, m.shards());
      writeLoad(out, m.load());
    } else if (message instanceof Message.Call m) {
      writeCall(out, m);
    } else if (message instanceof Message.Start m) {
      writeHeader(out, 3, START).packLong(m.stream()).packLong(m.epoch());
    } else if (message instanceof Message.Grant m) {
      writeHeader(out, 2, GRANT).packLong(m.stream());
    } else if (message instanceof Message.Deny m) {
      writeHeader(out, 2, DENY).packLong(m.stream());
    } else if (message instanceof Message.Tokens m) {
      writeHeader(out, 4, TOKENS).packLong(m.stream()).packLong(m.position());
      writeStrings(out, m.items());
    } else if (message instanceof Message.Credit m) {
      writeHeader(out, 3, CREDIT).packLong(m.stream()).packInt(m.frames());
    } else if (message instanceof Message.Result m) {
      writeHeader(out, 5, RESULT).packLong(m.stream());
      writeBytes(out, m.payload());
      out.packLong(m.count());
      writeLoad(out, m.load());
    } else if (message instanceof Message.Refused m) {
      writeHeader(out, 7, REFUSED).packLong(m.stream()).packInt(m.kind().ordinal());
      out.packInt(m.outcome().ordinal()).packString(m.detail()).packLong(m.retryAfterMillis());
      writeLoad(out, m.load());
    } else if (message instanceof Message.Cancel m) {
      writeHeader(out, 2, CANCEL).packLong(m.stream());
    } else {
      writeControlMessage(out, message);
    }
  }

  private static void writeControlMessage(MessageBufferPacker out, Message message)
      throws IOException {
    if (message instanceof Message.Ping m) {
      writeHeader(out, 4, PING).packLong(m.sequence()).packLong(m.configVersion());
      writeLoad(out, m.load());
    } else if (message instanceof Message.Pong m) {
      writeHeader(out, 5, PONG).packLong(m.sequence()).packLong(m.configVersion());
      writeLoad(out, m.load());
      writeShards(out, m.shards());
    } else if (message instanceof Message.ConfigRequest m) {
      writeHeader(out, 2, CONFIG_REQUEST).packLong(m.fromVersion());
    } else if (message instanceof Message.ConfigDelta m) {
      writeHeader(out, 4, CONFIG_DELTA).packLong(m.fromVersion()).packLong(m.toVersion());
      writeBytes(out, m.changes());
    } else if (message instanceof Message.ConfigSnapshot m) {
      writeHeader(out, 3, CONFIG_SNAPSHOT).packLong(m.version());
      writeBytes(out, m.document());
    } else if (message instanceof Message.Settle m) {
      writeHeader(out, 7, SETTLE)
          .packLong(m.id())
          .packString(m.workspace())
          .packString(m.pipeline());
      out.packInt(m.stage()).packString(m.operation()).packString(m.key());
    } else if (message instanceof Message.Settled m) {
      writeHeader(out, 5, SETTLED).packLong(m.id()).packInt(m.outcome().ordinal());
      out.packString(m.detail());
      writeBytes(out, m.payload());
    } else if (message instanceof Message.Query m) {
      writeHeader(out, 3, QUERY).packLong(m.id());
      writeBytes(out, m.question());
    } else if (message instanceof Message.QueryResult m) {
      writeHeader(out, 3, QUERY_RESULT).packLong(m.id());
      writeBytes(out, m.answer());
    } else {
      writeStageMessage(out, message);
    }
  }

  private static void writeStageMessage(MessageBufferPacker out, Message message)
      throws IOException {
    if (message instanceof Message.StageSubmit m) {
      writeHeader(out, 14, STAGE_SUBMIT).packLong(m.ticket()).packString(m.requestId());
      out.packInt(m.stage()).packString(m.service()).packString(m.region()).packString(m.zone());
      out.packInt(m.rank());
      out.packLong(m.startMillis()).packLong(m.remainingMillis()).packLong(m.resultBytes());
      writeInts(out, m.pieces());
      out.packString(m.key());
      writeStrings(out, m.inputs());
    } else if (message instanceof Message.StageResults m) {
      writeHeader(out, 6, STAGE_RESULTS).packLong(m.ticket()).packString(m.service());
      writeInts(out, m.pieces());
      writeInts(out, m.statuses());
      writeStrings(out, m.handles());
    } else if (message instanceof Message.StageAnnounce m) {
      writeHeader(out, 7, STAGE_ANNOUNCE).packLong(m.ticket()).packString(m.service());
      out.packString(m.region()).packInt(m.rank()).packLong(m.resultBytes()).packInt(m.pieces());
    } else if (message instanceof Message.StageCancel m) {
      writeHeader(out, 4, STAGE_CANCEL).packLong(m.ticket()).packString(m.service());
      out.packString(m.region());
    } else if (message instanceof Message.StageRelease m) {
      writeHeader(out, 4, STAGE_RELEASE).packString(m.service()).packString(m.region());
      writeStrings(out, m.handles());
    } else if (message instanceof Message.StageLoadReport m) {
      writeHeader(out, 9, STAGE_LOAD_REPORT).packString(m.service()).packString(m.region());
      out.packInt(m.upstreams()).packLong(m.callMillis()).packLong(m.residualMillis());
      writeInts(out, m.ranks());
      writeInts(out, m.calls());
      writeInts(out, m.announced());
    } else if (message instanceof Message.Observation m) {
      writeHeader(out, 7, OBSERVATION).packInt(m.kind()).packString(m.subject());
      out.packString(m.origin()).packLong(m.ageMillis()).packDouble(m.value());
      writeStrings(out, m.details());
    } else if (message instanceof Message.PermitRequest m) {
      writeHeader(out, 6, PERMIT_REQUEST).packLong(m.id()).packString(m.upstream());
      out.packInt(m.rank()).packDouble(m.limitPerSecond()).packLong(m.limitAgeMillis());
    } else if (message instanceof Message.ColdPermitRequest m) {
      writeHeader(out, 5, COLD_PERMIT_REQUEST).packLong(m.id()).packString(m.upstream());
      out.packInt(m.rank()).packDouble(m.perSecond());
    } else if (message instanceof Message.PermitReply m) {
      writeHeader(out, 4, PERMIT_REPLY).packLong(m.id()).packBoolean(m.granted());
      out.packLong(m.retryAfterMillis());
    } else if (message instanceof Message.CapacityReport m) {
      writeStrings(writeHeader(out, 5, CAPACITY_REPORT), m.upstreams());
      writeInts(out, m.tenthsOfWork());
      writeStrings(out, m.measured());
      writeInts(out, m.gapMicros());
    } else if (message instanceof Message.CapacitySums m) {
      writeStrings(writeHeader(out, 4, CAPACITY_SUMS), m.upstreams());
      writeInts(out, m.tenthsOfWork());
      writeInts(out, m.levels());
    }
  }

  private static void writeCall(MessageBufferPacker out, Message.Call m) throws IOException {
    writeHeader(out, 18, CALL).packLong(m.stream()).packString(m.requestId()).packInt(m.stage());
    out.packInt(m.attempt()).packString(m.workspace()).packString(m.firm());
    out.packString(m.pipeline()).packInt(m.priority()).packLong(m.remainingMillis());
    out.packString(m.operation()).packBoolean(m.idempotent());
    String key = m.key();
    if (key == null) {
      out.packNil();
    } else {
      out.packString(key);
    }
    out.packLong(m.fingerprint()).packLong(m.resumeFrom()).packInt(m.credits());
    out.packBoolean(m.streaming());
    writeBytes(out, m.payload());
  }

  private static MessageBufferPacker writeHeader(
      MessageBufferPacker out, int elementCount, int typeNumber) throws IOException {
    out.packArrayHeader(elementCount).packInt(typeNumber);
    return out;
  }

  private static void writeBytes(MessageBufferPacker out, byte[] bytes) throws IOException {
    out.packBinaryHeader(bytes.length).writePayload(bytes);
  }

  private static void writeStrings(MessageBufferPacker out, List<String> values)
      throws IOException {
    out.packArrayHeader(values.size());
    for (String value : values) {
      out.packString(value);
    }
  }

  private static void writeInts(MessageBufferPacker out, List<Integer> values) throws IOException {
    out.packArrayHeader(values.size());
    for (int value : values) {
      out.packInt(value);
    }
  }

  private static void writeLoad(MessageBufferPacker out, Load load) throws IOException {
    out.packArrayHeader(5).packInt(load.inFlight()).packInt(load.queued()).packInt(load.limit());
    out.packLong(load.queueDelayMicros()).packBoolean(load.draining());
  }

  private static void writeShards(MessageBufferPacker out, Map<String, Long> shards)
      throws IOException {
    out.packMapHeader(shards.size());
    for (Map.Entry<String, Long> shard : shards.entrySet()) {
      out.packString(shard.getKey()).packLong(shard.getValue());
    }
  }

  private static Message readMessage(MessageUnpacker in) throws IOException {
    int typeNumber = in.unpackInt();
    return switch (typeNumber) {
      case HELLO ->
          new Message.Hello(
              in.unpackInt(),
              in.unpackString(),
              in.unpackString(),
              in.unpackString(),
              in.unpackString(),
              in.unpackString(),
              in.unpackLong(),
              readShards(in),
              readLoad(in));
      case CALL -> readCall(in);
      case START -> new Message.Start(in.unpackLong(), in.unpackLong());
      case GRANT -> new Message.Grant(in.unpackLong());
      case DENY -> new Message.Deny(in.unpackLong());
      case TOKENS -> new Message.Tokens(in.unpackLong(), in.unpackLong(), readStrings(in));
      case CREDIT -> new Message.Credit(in.unpackLong(), in.unpackInt());
      case RESULT ->
          new Message.Result(in.unpackLong(), readBytes(in), in.unpackLong(), readLoad(in));
      case REFUSED ->
          new Message.Refused(
              in.unpackLong(),
              enumConstant(RefusalKind.values(), in.unpackInt()),
              enumConstant(Outcome.values(), in.unpackInt()),
              in.unpackString(),
              in.unpackLong(),
              readLoad(in));
      case CANCEL -> new Message.Cancel(in.unpackLong());
      case PING -> new Message.Ping(in.unpackLong(), in.unpackLong(), readLoad(in));
      case PONG -> new Message.Pong(in.unpackLong(), in.unpackLong(), readLoad(in), readShards(in));
      case CONFIG_REQUEST -> new Message.ConfigRequest(in.unpackLong());
      case CONFIG_DELTA -> new Message.ConfigDelta(in.unpackLong(), in.unpackLong(), readBytes(in));
      case CONFIG_SNAPSHOT -> new Message.ConfigSnapshot(in.unpackLong(), readBytes(in));
      case SETTLE ->
          new Message.Settle(
              in.unpackLong(),
              in.unpackString(),
              in.unpackString(),
              in.unpackInt(),
              in.unpackString(),
              in.unpackString());
      case SETTLED ->
          new Message.Settled(
              in.unpackLong(),
              enumConstant(Outcome.values(), in.unpackInt()),
              in.unpackString(),
              readBytes(in));
      case QUERY -> new Message.Query(in.unpackLong(), readBytes(in));
      case QUERY_RESULT -> new Message.QueryResult(in.unpackLong(), readBytes(in));
      case STAGE_SUBMIT ->
          new Message.StageSubmit(
              in.unpackLong(),
              in.unpackString(),
              in.unpackInt(),
              in.unpackString(),
              in.unpackString(),
              in.unpackString(),
              in.unpackInt(),
              in.unpackLong(),
              in.unpackLong(),
              in.unpackLong(),
              readInts(in),
              in.unpackString(),
              readStrings(in));
      case STAGE_RESULTS ->
          new Message.StageResults(
              in.unpackLong(), in.unpackString(), readInts(in), readInts(in), readStrings(in));
      case STAGE_CANCEL ->
          new Message.StageCancel(in.unpackLong(), in.unpackString(), in.unpackString());
      case STAGE_RELEASE ->
          new Message.StageRelease(in.unpackString(), in.unpackString(), readStrings(in));
      case STAGE_LOAD_REPORT ->
          new Message.StageLoadReport(
              in.unpackString(),
              in.unpackString(),
              in.unpackInt(),
              in.unpackLong(),
              in.unpackLong(),
              readInts(in),
              readInts(in),
              readInts(in));
      case STAGE_ANNOUNCE ->
          new Message.StageAnnounce(
              in.unpackLong(),
              in.unpackString(),
              in.unpackString(),
              in.unpackInt(),
              in.unpackLong(),
              in.unpackInt());
      case OBSERVATION ->
          new Message.Observation(
              in.unpackInt(),
              in.unpackString(),
              in.unpackString(),
              in.unpackLong(),
              in.unpackDouble(),
              readStrings(in));
      case PERMIT_REQUEST ->
          new Message.PermitRequest(
              in.unpackLong(),
              in.unpackString(),
              in.unpackInt(),
              in.unpackDouble(),
              in.unpackLong());
      case COLD_PERMIT_REQUEST ->
          new Message.ColdPermitRequest(
              in.unpackLong(), in.unpackString(), in.unpackInt(), in.unpackDouble());
      case PERMIT_REPLY ->
          new Message.PermitReply(in.unpackLong(), in.unpackBoolean(), in.unpackLong());
      case CAPACITY_REPORT ->
          new Message.CapacityReport(readStrings(in), readInts(in), readStrings(in), readInts(in));
      case CAPACITY_SUMS -> new Message.CapacitySums(readStrings(in), readInts(in), readInts(in));
      default -> throw new WireException("message type " + typeNumber + " is unknown");
    };
  }

  private static Message.Call readCall(MessageUnpacker in) throws IOException {
    return new Message.Call(
        in.unpackLong(),
        in.unpackString(),
        in.unpackInt(),
        in.unpackInt(),
        in.unpackString(),
        in.unpackString(),
        in.unpackString(),
        in.unpackInt(),
        in.unpackLong(),
        in.unpackString(),
        in.unpackBoolean(),
        readNullableString(in),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackInt(),
        in.unpackBoolean(),
        readBytes(in));
  }

  private static @Nullable String readNullableString(MessageUnpacker in) throws IOException {
    return in.tryUnpackNil() ? null : in.unpackString();
  }

  private static byte[] readBytes(MessageUnpacker in) throws IOException {
    return in.readPayload(in.unpackBinaryHeader());
  }

  private static Load readLoad(MessageUnpacker in) throws IOException {
    in.unpackArrayHeader();
    return new Load(
        in.unpackInt(), in.unpackInt(), in.unpackInt(), in.unpackLong(), in.unpackBoolean());
  }

  private static List<String> readStrings(MessageUnpacker in) throws IOException {
    int size = in.unpackArrayHeader();
    List<String> values = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      values.add(in.unpackString());
    }
    return List.copyOf(values);
  }

  private static List<Integer> readInts(MessageUnpacker in) throws IOException {
    int size = in.unpackArrayHeader();
    List<Integer> values = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      values.add(in.unpackInt());
    }
    return List.copyOf(values);
  }

  private static Map<String, Long> readShards(MessageUnpacker in) throws IOException {
    int size = in.unpackMapHeader();
    Map<String, Long> shards = new HashMap<>();
    for (int i = 0; i < size; i++) {
      shards.put(in.unpackString(), in.unpackLong());
    }
    return Map.copyOf(shards);
  }

  private static <E> E enumConstant(E[] constants, int ordinal) throws WireException {
    if (ordinal < 0 || ordinal >= constants.length) {
      throw new WireException("enum ordinal " + ordinal + " is unknown");
    }
    return constants[ordinal];
  }
}
