package org.oriolewell.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A complete HTTP response.
 *
 * @param status HTTP status code
 * @param contentType media type of the body
 * @param headers additional response headers, by name
 * @param body bytes of the response body
 */
public record HttpReply(int status, String contentType, Map<String, String> headers, byte[] body) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Returns a reply whose body is a value as JSON; the value must be one that Jackson can write.
   */
  public static HttpReply json(int status, Object value) {
    return new HttpReply(status, "application/json", Map.of(), toJson(value));
  }

  /** Returns a reply whose body is a value as a problem document (RFC 9457). */
  public static HttpReply problem(int status, Object value, Map<String, String> headers) {
    return new HttpReply(status, "application/problem+json", headers, toJson(value));
  }

  /** Returns a reply with a body of plain text in UTF-8. */
  public static HttpReply text(int status, String text) {
    return new HttpReply(
        status, "text/plain; charset=utf-8", Map.of(), text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a reply with a binary body. */
  public static HttpReply bytes(int status, byte[] body, Map<String, String> headers) {
    return new HttpReply(status, "application/octet-stream", headers, body);
  }

  private static byte[] toJson(Object value) {
    try {
      return JSON.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value cannot be written as JSON", e);
    }
  }
}
