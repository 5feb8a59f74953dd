package org.oriolewell.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** Writes and reads configuration as JSON with snake-case names and sorted keys. */
public final class ConfigJson {
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
    return MAPPER.readValue(bytes, ConfigDocument.class);
  }
}
