package org.oriolewell.runtime.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.oriolewell.runtime.settings.Setting;

/**
 * A bearer token of an operator for the admin API, with its rights. The settings hold only the
 * SHA-256 digest, so neither the file nor an error message about it contains the token.
 *
 * @param operator name of the operator, which the audit log shows
 * @param changeAllowed whether the token allows changes; every token allows reading
 * @param workspaces workspaces that the token is limited to; empty for no limit
 * @param digest SHA-256 digest of the token
 */
public record AdminToken(
    String operator, boolean changeAllowed, Set<String> workspaces, HashCode digest) {
  /** Setting with the tokens that the admin API accepts. */
  public static final Setting<List<AdminToken>> SETTING =
      new Setting<>(
          "admin.tokens",
          List.of(),
          "tables with operator, rights (read or change), workspaces (a list; [\"*\"] for all) and"
              + " token_sha256 (64 hexadecimal digits)",
          "Tokens of the admin API; without any, the API refuses all calls.",
          AdminToken::parseAll);

  private static final int DIGEST_HEX_LENGTH = 64;

  /** Copies the set of workspaces. */
  public AdminToken {
    workspaces = Set.copyOf(workspaces);
  }

  /** Returns the token with the given plain text, for tests and tools. */
  public static AdminToken of(
      String operator, boolean changeAllowed, Set<String> workspaces, String plainText) {
    return new AdminToken(operator, changeAllowed, workspaces, digest(plainText));
  }

  private static HashCode digest(String plainText) {
    return Hashing.sha256().hashString(plainText, StandardCharsets.UTF_8);
  }

  /** Returns whether the token covers all workspaces and all other objects. */
  public boolean unlimited() {
    return workspaces.isEmpty();
  }

  /** Returns the accepted token that a caller presented; the run time doesn't reveal which. */
  static Optional<AdminToken> find(List<AdminToken> tokens, String presented) {
    byte[] digest = digest(presented).asBytes();
    AdminToken matchingToken = null;
    for (AdminToken token : tokens) {
      if (MessageDigest.isEqual(token.digest().asBytes(), digest)) {
        matchingToken = token;
      }
    }
    return Optional.ofNullable(matchingToken);
  }

  private static List<AdminToken> parseAll(JsonNode node) {
    if (!node.isArray()) {
      throw new IllegalArgumentException("not a list");
    }
    List<AdminToken> tokens = new ArrayList<>();
    node.forEach(table -> tokens.add(parse(table)));
    return List.copyOf(tokens);
  }

  private static AdminToken parse(JsonNode table) {
    String operator = table.path("operator").asText();
    String rights = table.path("rights").asText();
    String digest = table.path("token_sha256").asText();
    Set<String> workspaces = new HashSet<>();
    table.path("workspaces").forEach(name -> workspaces.add(name.asText()));
    if (operator.isBlank()
        || !List.of("read", "change").contains(rights)
        || workspaces.isEmpty()
        || digest.length() != DIGEST_HEX_LENGTH) {
      throw new IllegalArgumentException("incomplete token");
    }
    boolean allWorkspaces = workspaces.contains("*");
    return new AdminToken(
        operator,
        rights.equals("change"),
        allWorkspaces ? Set.of() : workspaces,
        HashCode.fromString(digest.toLowerCase(Locale.ROOT)));
  }
}
