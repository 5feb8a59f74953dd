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
 * Answers questions about one process. A question is {@code {"query": "show ..."}} and its answer
 * is {@code {"rows": [...]}}, or {@code {"error": "..."}}.
 *
 * <p>Example, in an agent that receives a QUERY: {@code connection.send(new QueryResult(query.id(),
 * responder.answer(query.question())))}.
 */
public final class QueryResponder {
  /** Most rows of one answer, so that it stays well below the frame limit. */
  static final int MAX_ROWS = 2_000;

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Source of a process's rows. */
  @FunctionalInterface
  public interface RowSource {
    /** Returns the rows of a subject, with its fields; empty if this process has none. */
    List<Map<String, Object>> rows(Subject subject);
  }

  private final RowSource source;

  private QueryResponder(RowSource source) {
    this.source = source;
  }

  /** Returns a responder. */
  public static QueryResponder of(RowSource source) {
    return new QueryResponder(source);
  }

  /** Returns the answer to a question. It never fails; a wrong question is answered by an error. */
  public byte[] answer(byte[] question) {
    try {
      JsonNode root = JSON.readTree(question);
      if (StatementParser.parse(root.path("query").asText()) instanceof Statement.Show show) {
        List<Map<String, Object>> rows = Rows.contribution(show, source.rows(show.subject()));
        boolean cut = rows.size() > MAX_ROWS;
        return JSON.writeValueAsBytes(
            Map.of("rows", cut ? rows.subList(0, MAX_ROWS) : rows, "cut", cut));
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

  static byte[] question(String query) {
    try {
      return JSON.writeValueAsBytes(Map.of("query", query));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a string cannot be written as JSON", e);
    }
  }

  /**
   * The rows of one process.
   *
   * @param rows rows
   * @param complete false if the process has more rows than one answer holds
   */
  record Contribution(List<Map<String, Object>> rows, boolean complete) {}

  /**
   * Reads an answer.
   *
   * @throws IOException if it's an error or malformed
   */
  static Contribution rows(byte[] answer) throws IOException {
    JsonNode root = JSON.readTree(answer);
    if (!root.path("rows").isArray()) {
      throw new IOException("the process answered " + root.path("error").asText("no rows"));
    }
    List<Map<String, Object>> rows = JSON.convertValue(root.get("rows"), new TypeReference<>() {});
    return new Contribution(rows, !root.path("cut").asBoolean());
  }
}
