package org.oriolewell.core.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against stored shard records that decode to other values or are misread when corrupt. */
class ShardCodecTest {
  private static final ShardRecord SHARD_RECORD =
      new ShardRecord(
          4,
          "a#1",
          "127.0.0.1:9",
          "a#1/7",
          new TimeRange(10, 20),
          List.of(new TimeRange(1, 2)),
          5,
          List.of(new Segment.Reference("n", "w", new TimeRange(3, 4))),
          Map.of(new CallId(1, 2), new CallRecord(CallRecord.State.UNKNOWN, 11, 12, null)));

  @Test
  void decodedRecordEqualsTheEncodedRecord() throws IOException {
    assertThat(ShardCodec.decode(ShardCodec.encode(SHARD_RECORD))).isEqualTo(SHARD_RECORD);
  }

  @Test
  void decodedSegmentEqualsTheEncodedSegment() throws IOException {
    Segment segment = new Segment("w", SHARD_RECORD.calls());
    assertThat(ShardCodec.decodeSegment(ShardCodec.encodeSegment(segment))).isEqualTo(segment);
  }

  @Test
  void truncatedRecordIsRefused() {
    byte[] encodedRecord = ShardCodec.encode(SHARD_RECORD);
    byte[] truncatedRecord = Arrays.copyOf(encodedRecord, encodedRecord.length / 2);
    assertThatThrownBy(() -> ShardCodec.decode(truncatedRecord)).isInstanceOf(IOException.class);
  }

  @Test
  void recordOfNewerSchemaIsRefused() {
    byte[] encodedRecord = ShardCodec.encode(SHARD_RECORD);
    encodedRecord[0] = 2;
    assertThatThrownBy(() -> ShardCodec.decode(encodedRecord)).hasMessageContaining("schema 2");
  }

  @Test
  void idempotencyKeyContainsItsTimeOfIssue() throws InvalidKeyException {
    IdempotencyKey generatedKey =
        IdempotencyKey.generate(Instant.ofEpochMilli(1_700_000_000_123L), new Random(1));
    assertThat(IdempotencyKey.parse(generatedKey.text())).isEqualTo(generatedKey);
    assertThat(IdempotencyKey.parse("1700000000123-permit-7").issuedMillis())
        .isEqualTo(1_700_000_000_123L);
    assertThatThrownBy(() -> IdempotencyKey.parse("permit-7"))
        .isInstanceOf(InvalidKeyException.class)
        .hasMessageContaining("UUIDv7");
  }
}
