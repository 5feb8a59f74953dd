package org.oriolewell.runtime.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.oriolewell.core.config.language.LanguageException;
import org.oriolewell.core.config.language.Rows;
import org.oriolewell.core.config.language.Statement;
import org.oriolewell.core.config.language.StatementParser;
import org.oriolewell.core.config.language.Subject;

/**
 * Answers queries about one process. A query is the JSON {@code {"query": "show ..."}}, and its
 * answer is {@code {"rows": [...]}} or {@code {"error": "..."}}.
 *
 * <p>Example, in an agent that receives a QUERY: {@code connection.send(new QueryResult(query.id(),
 * responder.answer(query.question())))}.
 */
public final class QueryResponder {
  /** Most rows in one answer, so that the answer stays well below the frame size limit. */
  static final int MAX_ANSWER_ROWS = 2_000;

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Provides the rows of this process. */
  @FunctionalInterface
  public interface RowSource {
    /** Returns the rows of a subject, with all its fields; empty if this process has none. */
    List<Map<String, Object>> rows(Subject subject);
  }

  private final RowSource source;

  private QueryResponder(RowSource source) {
    this.source = source;
  }

  /** Returns a responder that answers with the rows of a source. */
  public static QueryResponder of(RowSource source) {
    return new QueryResponder(source);
  }

  /** Returns the answer to a query. It never fails; an invalid query is answered by an error. */
  public byte[] answer(byte[] encodedQuery) {
    try {
      JsonNode root = JSON.readTree(encodedQuery);
      if (StatementParser.parse(root.path("query").asText()) instanceof Statement.Show show) {
        List<Map<String, Object>> rows = Rows.contribution(show, source.rows(show.subject()));
        boolean truncated = rows.size() > MAX_ANSWER_ROWS;
        return JSON.writeValueAsBytes(
            Map.of("rows", truncated ? rows.subList(0, MAX_ANSWER_ROWS) : rows, "cut", truncated));
      }
      return error("only show can be asked");
    } catch (LanguageException | IOException e) {
      return error(String.valueOf(e.getMessage()));
    }
  }

  private static byte[] error(String message) {
    try {
      return JSON.writeValueAsBytes(Map.of("error", message));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a string cannot be written as JSON", e);
    }
  }

  /** Returns a query as JSON. */
  static byte[] encodeQuery(String statement) {
    try {
      return JSON.writeValueAsBytes(Map.of("query", statement));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a string cannot be written as JSON", e);
    }
  }

  /**
   * Rows that one process contributes to the answer of a query.
   *
   * @param rows rows of the process
   * @param complete false if the process has more rows than one answer holds
   */
  record Contribution(List<Map<String, Object>> rows, boolean complete) {}

  /**
   * Decodes the answer of a process.
   *
   * @throws IOException if the answer is an error or is malformed
   */
  static Contribution decodeAnswer(byte[] answer) throws IOException {
    JsonNode root = JSON.readTree(answer);
    if (!root.path("rows").isArray()) {
      throw new IOException("the process answered " + root.path("error").asText("no rows"));
    }
    List<Map<String, Object>> rows = JSON.convertValue(root.get("rows"), new TypeReference<>() {});
    return new Contribution(rows, !root.path("cut").asBoolean());
  }
}
