package org.oriolewell.core.config;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * The changes that lead from one version of a document to a later one, as JSON {@code {"schema",
 * "digest", "changes":[...]}}. The digest is that of the resulting document, so that a receiver
 * notices if it didn't reach the same one.
 */
public final class ConfigDelta {
  private ConfigDelta() {}

  /** Returns the digest that deltas to this document carry. */
  public static String digest(ConfigDocument document) {
    return Hashing.sha256().hashBytes(ConfigJson.write(document)).toString();
  }

  /**
   * Returns the delta to a document, or empty if its change log doesn't reach back to the base.
   *
   * @param digest digest of the document
   */
  public static Optional<byte[]> encode(ConfigDocument to, long fromVersion, String digest) {
    List<ChangeRecord> changes =
        to.changes().stream().filter(change -> change.version() > fromVersion).toList();
    boolean complete =
        changes.size() == to.version() - fromVersion
            && changes.stream().allMatch(ChangeLog::hasDetails);
    if (!complete) {
      return Optional.empty();
    }
    ObjectNode delta = ConfigJson.mapper().createObjectNode();
    delta.put("schema", to.schema());
    delta.put("digest", digest);
    delta.set("changes", ConfigJson.mapper().valueToTree(changes));
    try {
      return Optional.of(ConfigJson.mapper().writeValueAsBytes(delta));
    } catch (IOException e) {
      throw new IllegalStateException("a delta cannot be written as JSON", e);
    }
  }

  /**
   * A document with its digest, which is kept since it takes a pass over the whole document.
   *
   * @param document document
   * @param digest its digest
   */
  record Applied(ConfigDocument document, String digest) {}

  /**
   * Returns the document that a delta makes of its base.
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
