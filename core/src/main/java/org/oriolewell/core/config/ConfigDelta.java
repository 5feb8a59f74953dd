package org.oriolewell.core.config;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * Encodes and applies deltas. A delta holds the changes that lead from one version of the document
 * to a later one, as JSON {@code {"schema", "digest", "changes":[...]}}. The digest is that of the
 * resulting document, with which a receiver verifies its own result.
 */
public final class ConfigDelta {
  private ConfigDelta() {}

  /** Returns the SHA-256 digest of a document in hexadecimal, as its deltas carry it. */
  public static String digest(ConfigDocument document) {
    return Hashing.sha256().hashBytes(ConfigJson.write(document)).toString();
  }

  /**
   * Returns the delta from an earlier version to a document, or empty if the document's change log
   * doesn't reach back to that version.
   *
   * @param fromVersion version that the receiver of the delta has
   * @param digest digest of the document, see {@link #digest}
   */
  public static Optional<byte[]> encode(ConfigDocument document, long fromVersion, String digest) {
    List<ChangeRecord> changes =
        document.changes().stream().filter(change -> change.version() > fromVersion).toList();
    boolean changesAvailable =
        changes.size() == document.version() - fromVersion
            && changes.stream().allMatch(ChangeLog::hasDetails);
    if (!changesAvailable) {
      return Optional.empty();
    }
    ObjectNode delta = ConfigJson.mapper().createObjectNode();
    delta.put("schema", document.schema());
    delta.put("digest", digest);
    delta.set("changes", ConfigJson.mapper().valueToTree(changes));
    try {
      return Optional.of(ConfigJson.mapper().writeValueAsBytes(delta));
    } catch (IOException e) {
      throw new IllegalStateException("a delta cannot be written as JSON", e);
    }
  }

  /**
   * The document that results from a delta. Its digest is kept because computing it again would
   * take a pass over the whole document.
   *
   * @param document resulting document
   * @param digest digest of the resulting document
   */
  record Applied(ConfigDocument document, String digest) {}

  /**
   * Applies a delta to the version of the document that it was encoded for.
   *
   * @throws IOException if the delta is corrupt, of another schema, or made for another base
   */
  static Applied apply(ConfigDocument base, byte[] delta) throws IOException {
    JsonNode root = ConfigJson.mapper().readTree(delta);
    int schema = root.path("schema").asInt(-1);
    if (schema != base.schema()) {
      throw new IOException("the delta has schema " + schema + ", not " + base.schema());
    }
    List<ChangeRecord> changes =
        ConfigJson.mapper().convertValue(root.path("changes"), new TypeReference<>() {});
    ConfigDocument document = base;
    for (ChangeRecord change : changes) {
      document = apply(document, change);
    }
    String digest = digest(document);
    if (!digest.equals(root.path("digest").asText())) {
      throw new IOException("the delta to version " + document.version() + " has another digest");
    }
    return new Applied(document, digest);
  }

  private static ConfigDocument apply(ConfigDocument base, ChangeRecord change) throws IOException {
    if (change.version() != base.version() + 1) {
      throw new IOException(
          "a change to version " + change.version() + " follows version " + base.version());
    }
    return ConfigObjects.patch(
        base,
        ConfigJson.mapper().readTree(change.after()),
        change.version(),
        ChangeLog.append(base.changes(), change));
  }
}
