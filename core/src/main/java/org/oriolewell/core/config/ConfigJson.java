package org.oriolewell.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Writes and reads configuration as JSON with snake-case names and sorted keys, plain or
 * compressed. The store and the snapshots between processes hold the compressed form.
 */
public final class ConfigJson {
  /** Largest document in plain JSON, in bytes; a value of the store holds at most 1 MB. */
  public static final int MAX_BYTES = 1_000_000;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .build();

  private ConfigJson() {}

  /** Returns the mapper, for parts of a document. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /** Returns a document as bytes. */
  public static byte[] write(ConfigDocument document) {
    try {
      return MAPPER.writeValueAsBytes(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a configuration document cannot be written as JSON", e);
    }
  }

  /** Returns a document as JSON, compressed with gzip. */
  public static byte[] writeCompressed(ConfigDocument document) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
      gzip.write(write(document));
    } catch (IOException e) {
      throw new UncheckedIOException("a memory buffer failed", e);
    }
    return bytes.toByteArray();
  }

  /**
   * Reads a document in plain JSON or compressed with gzip.
   *
   * @throws IOException if the bytes aren't a document of this schema, or are larger than {@link
   *     #MAX_BYTES}; the stored value must then be left as it is
   */
  public static ConfigDocument readAny(byte[] bytes) throws IOException {
    boolean compressed = bytes.length > 2 && bytes[0] == 0x1f && (bytes[1] & 0xff) == 0x8b;
    return read(compressed ? decompress(bytes) : bytes);
  }

  private static byte[] decompress(byte[] bytes) throws IOException {
    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
      byte[] plain = gzip.readNBytes(MAX_BYTES + 1);
      if (plain.length > MAX_BYTES) {
        throw new IOException("the configuration is larger than " + MAX_BYTES + " bytes");
      }
      return plain;
    }
  }

  /**
   * Reads a document.
   *
   * @throws IOException if the bytes aren't a document of this schema; the stored value must then
   *     be left as it is
   */
  public static ConfigDocument read(byte[] bytes) throws IOException {
    int schema = MAPPER.readTree(bytes).path("schema").asInt(-1);
    if (schema != ConfigDocument.SCHEMA) {
      throw new IOException(
          "the configuration has schema "
              + schema
              + ", this program reads schema "
              + ConfigDocument.SCHEMA
              + "; use a program of the matching version");
    }
    ConfigDocument document = MAPPER.readValue(bytes, ConfigDocument.class);
    if (document.version() < 0) {
      throw new IOException("the configuration has the negative version " + document.version());
    }
    return document;
  }
}
