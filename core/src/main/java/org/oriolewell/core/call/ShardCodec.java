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

/** Writes and reads shard records and segments as MessagePack, as the store holds them. */
public final class ShardCodec {
  /** Version of the stored format. */
  private static final int SCHEMA = 1;

  private ShardCodec() {}

  /** Returns a record as bytes. */
  public static byte[] encode(ShardRecord record) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(SCHEMA).packLong(record.epoch());
      packNullable(out, record.owner());
      packNullable(out, record.ownerAddress());
      out.packString(record.writeId());
      packRange(out, record.window());
      out.packArrayHeader(record.ambiguous().size());
      for (TimeRange range : record.ambiguous()) {
        packRange(out, range);
      }
      out.packLong(record.lowWaterMillis());
      out.packArrayHeader(record.segments().size());
      for (Segment.Reference reference : record.segments()) {
        out.packString(reference.name()).packString(reference.writeId());
        packRange(out, reference.range());
      }
      packCalls(out, record.calls());
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("a memory buffer failed", e);
    }
  }

  /**
   * Reads a record.
   *
   * @throws IOException if the bytes are corrupt or of a newer schema; the stored value must then
   *     be left as it is
   */
  public static ShardRecord decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      checkSchema(in.unpackInt());
      return new ShardRecord(
          in.unpackLong(),
          unpackNullable(in),
          unpackNullable(in),
          in.unpackString(),
          unpackRange(in),
          unpackRanges(in),
          in.unpackLong(),
          unpackReferences(in),
          unpackCalls(in));
    } catch (RuntimeException e) {
      throw new IOException("a shard record of " + bytes.length + " bytes is corrupt", e);
    }
  }

  /** Returns a segment as bytes. */
  public static byte[] encodeSegment(Segment segment) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(SCHEMA).packString(segment.writeId());
      packCalls(out, segment.calls());
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("a memory buffer failed", e);
    }
  }

  /**
   * Reads a segment.
   *
   * @throws IOException if the bytes are corrupt or of a newer schema
   */
  public static Segment decodeSegment(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      checkSchema(in.unpackInt());
      return new Segment(in.unpackString(), unpackCalls(in));
    } catch (RuntimeException e) {
      throw new IOException("a segment of " + bytes.length + " bytes is corrupt", e);
    }
  }

  private static void checkSchema(int schema) throws IOException {
    if (schema != SCHEMA) {
      throw new IOException(
          "a shard record has schema "
              + schema
              + ", this program reads schema "
              + SCHEMA
              + "; use a program of the matching version");
    }
  }

  private static void packNullable(MessageBufferPacker out, @Nullable String text)
      throws IOException {
    if (text == null) {
      out.packNil();
    } else {
      out.packString(text);
    }
  }

  private static @Nullable String unpackNullable(MessageUnpacker in) throws IOException {
    return in.tryUnpackNil() ? null : in.unpackString();
  }

  private static void packRange(MessageBufferPacker out, TimeRange range) throws IOException {
    out.packLong(range.from()).packLong(range.until());
  }

  private static TimeRange unpackRange(MessageUnpacker in) throws IOException {
    return new TimeRange(in.unpackLong(), in.unpackLong());
  }

  private static List<TimeRange> unpackRanges(MessageUnpacker in) throws IOException {
    int size = in.unpackArrayHeader();
    List<TimeRange> ranges = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      ranges.add(unpackRange(in));
    }
    return ranges;
  }

  private static List<Segment.Reference> unpackReferences(MessageUnpacker in) throws IOException {
    int size = in.unpackArrayHeader();
    List<Segment.Reference> references = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      references.add(new Segment.Reference(in.unpackString(), in.unpackString(), unpackRange(in)));
    }
    return references;
  }

  private static void packCalls(MessageBufferPacker out, Map<CallId, CallRecord> calls)
      throws IOException {
    out.packMapHeader(calls.size());
    for (Map.Entry<CallId, CallRecord> entry : calls.entrySet()) {
      CallRecord call = entry.getValue();
      out.packArrayHeader(2).packLong(entry.getKey().high()).packLong(entry.getKey().low());
      out.packArrayHeader(4).packInt(call.state().ordinal()).packLong(call.keyMillis());
      out.packLong(call.fingerprint());
      byte[] output = call.output();
      if (output == null) {
        out.packNil();
      } else {
        out.packBinaryHeader(output.length).writePayload(output);
      }
    }
  }

  private static Map<CallId, CallRecord> unpackCalls(MessageUnpacker in) throws IOException {
    int size = in.unpackMapHeader();
    Map<CallId, CallRecord> calls = new HashMap<>();
    for (int i = 0; i < size; i++) {
      in.unpackArrayHeader();
      CallId id = new CallId(in.unpackLong(), in.unpackLong());
      in.unpackArrayHeader();
      calls.put(
          id,
          new CallRecord(
              CallRecord.State.values()[in.unpackInt()],
              in.unpackLong(),
              in.unpackLong(),
              in.tryUnpackNil() ? null : in.readPayload(in.unpackBinaryHeader())));
    }
    return calls;
  }
}
