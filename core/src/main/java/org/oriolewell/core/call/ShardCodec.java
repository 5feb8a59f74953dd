package org.oriolewell.core.call;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes shard records and segments in their stored form, which is MessagePack. */
public final class ShardCodec {
  /** Version of the stored format, written first in each record and segment. */
  private static final int SCHEMA_VERSION = 1;

  private ShardCodec() {}

  /** Encodes a shard's record for the store. */
  public static byte[] encode(ShardRecord record) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(SCHEMA_VERSION).packLong(record.epoch());
      packNullable(packer, record.owner());
      packNullable(packer, record.ownerAddress());
      packer.packString(record.writeId());
      packRange(packer, record.keyWindow());
      packer.packArrayHeader(record.ambiguousRanges().size());
      for (TimeRange range : record.ambiguousRanges()) {
        packRange(packer, range);
      }
      packer.packLong(record.lowWaterMarkMillis());
      packer.packArrayHeader(record.segments().size());
      for (Segment.Reference reference : record.segments()) {
        packer.packString(reference.storeKey()).packString(reference.writeId());
        packRange(packer, reference.keyTimes());
      }
      packCalls(packer, record.calls());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("MessagePack could not be written to memory", e);
    }
  }

  /**
   * Decodes a shard's record.
   *
   * @throws IOException if the bytes are corrupt or have another schema version; the stored value
   *     must then not be overwritten
   */
  public static ShardRecord decode(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      checkSchema(unpacker.unpackInt());
      return new ShardRecord(
          unpacker.unpackLong(),
          unpackNullable(unpacker),
          unpackNullable(unpacker),
          unpacker.unpackString(),
          unpackRange(unpacker),
          unpackRanges(unpacker),
          unpacker.unpackLong(),
          unpackReferences(unpacker),
          unpackCalls(unpacker));
    } catch (RuntimeException e) {
      throw new IOException("a shard record of " + bytes.length + " bytes is corrupt", e);
    }
  }

  /** Encodes a segment for the store. */
  public static byte[] encodeSegment(Segment segment) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(SCHEMA_VERSION).packString(segment.writeId());
      packCalls(packer, segment.calls());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("MessagePack could not be written to memory", e);
    }
  }

  /**
   * Decodes a segment.
   *
   * @throws IOException if the bytes are corrupt or have another schema version
   */
  public static Segment decodeSegment(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      checkSchema(unpacker.unpackInt());
      return new Segment(unpacker.unpackString(), unpackCalls(unpacker));
    } catch (RuntimeException e) {
      throw new IOException("a segment of " + bytes.length + " bytes is corrupt", e);
    }
  }

  private static void checkSchema(int schemaVersion) throws IOException {
    if (schemaVersion != SCHEMA_VERSION) {
      throw new IOException(
          "a shard record has schema "
              + schemaVersion
              + ", this program reads schema "
              + SCHEMA_VERSION
              + "; use a program of the matching version");
    }
  }

  private static void packNullable(MessageBufferPacker packer, @Nullable String value)
      throws IOException {
    if (value == null) {
      packer.packNil();
    } else {
      packer.packString(value);
    }
  }

  private static @Nullable String unpackNullable(MessageUnpacker unpacker) throws IOException {
    return unpacker.tryUnpackNil() ? null : unpacker.unpackString();
  }

  private static void packRange(MessageBufferPacker packer, TimeRange range) throws IOException {
    packer.packLong(range.firstMillis()).packLong(range.lastMillis());
  }

  private static TimeRange unpackRange(MessageUnpacker unpacker) throws IOException {
    return new TimeRange(unpacker.unpackLong(), unpacker.unpackLong());
  }

  private static List<TimeRange> unpackRanges(MessageUnpacker unpacker) throws IOException {
    int rangeCount = unpacker.unpackArrayHeader();
    List<TimeRange> ranges = new ArrayList<>();
    for (int i = 0; i < rangeCount; i++) {
      ranges.add(unpackRange(unpacker));
    }
    return ranges;
  }

  private static List<Segment.Reference> unpackReferences(MessageUnpacker unpacker)
      throws IOException {
    int referenceCount = unpacker.unpackArrayHeader();
    List<Segment.Reference> references = new ArrayList<>();
    for (int i = 0; i < referenceCount; i++) {
      references.add(
          new Segment.Reference(
              unpacker.unpackString(), unpacker.unpackString(), unpackRange(unpacker)));
    }
    return references;
  }

  private static void packCalls(MessageBufferPacker packer, Map<CallId, CallRecord> calls)
      throws IOException {
    packer.packMapHeader(calls.size());
    for (Map.Entry<CallId, CallRecord> entry : calls.entrySet()) {
      CallRecord call = entry.getValue();
      packer
          .packArrayHeader(2)
          .packLong(entry.getKey().highBits())
          .packLong(entry.getKey().lowBits());
      packer.packArrayHeader(4).packInt(call.state().ordinal()).packLong(call.keyIssuedMillis());
      packer.packLong(call.fingerprint());
      byte[] output = call.output();
      if (output == null) {
        packer.packNil();
      } else {
        packer.packBinaryHeader(output.length).writePayload(output);
      }
    }
  }

  private static Map<CallId, CallRecord> unpackCalls(MessageUnpacker unpacker) throws IOException {
    int callCount = unpacker.unpackMapHeader();
    Map<CallId, CallRecord> calls = new HashMap<>();
    for (int i = 0; i < callCount; i++) {
      unpacker.unpackArrayHeader();
      CallId id = new CallId(unpacker.unpackLong(), unpacker.unpackLong());
      unpacker.unpackArrayHeader();
      calls.put(
          id,
          new CallRecord(
              CallRecord.State.values()[unpacker.unpackInt()],
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.tryUnpackNil()
                  ? null
                  : unpacker.readPayload(unpacker.unpackBinaryHeader())));
    }
    return calls;
  }
}
