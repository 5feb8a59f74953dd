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
 * Writes and reads the configuration document as JSON with snake-case names and sorted keys, plain
 * or compressed with gzip. The store and the snapshots between processes hold the compressed form.
 */
public final class ConfigJson {
  /** Largest size of a document in plain JSON, in bytes; the store limits a value to 1 MB. */
  public static final int MAX_DOCUMENT_BYTES = 1_000_000;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .build();

  private ConfigJson() {}

  /** Returns the JSON mapper, for reading and writing single objects of a document. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /** Returns a document as plain JSON. */
  public static byte[] write(ConfigDocument document) {
    try {
      return MAPPER.writeValueAsBytes(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a configuration document cannot be written as JSON", e);
    }
  }

  /** Returns a document as JSON that is compressed with gzip. */
  public static byte[] writeCompressed(ConfigDocument document) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
      gzip.write(write(document));
    } catch (IOException e) {
      throw new UncheckedIOException("compressing a configuration document in memory failed", e);
    }
    return bytes.toByteArray();
  }

  /**
   * Reads a document from plain JSON or from JSON that is compressed with gzip.
   *
   * @throws IOException if the bytes aren't a document of this schema, or are larger than {@link
   *     #MAX_DOCUMENT_BYTES}; the caller must then not overwrite the stored value
   */
  public static ConfigDocument readPlainOrCompressed(byte[] bytes) throws IOException {
    boolean compressed = bytes.length > 2 && bytes[0] == 0x1f && (bytes[1] & 0xff) == 0x8b;
    return read(compressed ? decompress(bytes) : bytes);
  }

  private static byte[] decompress(byte[] bytes) throws IOException {
    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
      byte[] decompressed = gzip.readNBytes(MAX_DOCUMENT_BYTES + 1);
      if (decompressed.length > MAX_DOCUMENT_BYTES) {
        throw new IOException("the configuration is larger than " + MAX_DOCUMENT_BYTES + " bytes");
      }
      return decompressed;
    }
  }

  /**
   * Reads a document from plain JSON.
   *
   * @throws IOException if the bytes aren't a document of this schema; the caller must then not
   *     overwrite the stored value
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
