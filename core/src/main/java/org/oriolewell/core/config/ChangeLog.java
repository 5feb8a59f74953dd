package org.oriolewell.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The changes that a document keeps. The last {@value #MAX_CHANGES} are kept with their command
 * ids. The affected objects are kept up to {@value #MAX_DETAIL_CHARS} characters in all, so that
 * changes of many objects don't push the document over its size limit; the oldest lose theirs
 * first.
 */
public final class ChangeLog {
  /** Number of changes that a document keeps. */
  public static final int MAX_CHANGES = 64;

  static final int MAX_DETAIL_CHARS = 256 << 10;

  private ChangeLog() {}

  /** Returns the change that a command made, if the document still lists it. */
  public static Optional<ChangeRecord> find(ConfigDocument document, String commandId) {
    return document.changes().stream().filter(c -> c.commandId().equals(commandId)).findFirst();
  }

  /** Returns the change that made a version, if the document still lists it. */
  public static Optional<ChangeRecord> find(ConfigDocument document, long version) {
    return document.changes().stream().filter(c -> c.version() == version).findFirst();
  }

  static boolean hasDetails(ChangeRecord change) {
    return !change.after().isEmpty();
  }

  static List<ChangeRecord> append(List<ChangeRecord> changes, ChangeRecord change) {
    List<ChangeRecord> all = new ArrayList<>(changes);
    all.add(change);
    List<ChangeRecord> kept =
        new ArrayList<>(all.subList(Math.max(0, all.size() - MAX_CHANGES), all.size()));
    int chars = 0;
    for (int i = kept.size() - 1; i >= 0; i--) {
      ChangeRecord record = kept.get(i);
      chars += record.before().length() + record.after().length();
      if (chars > MAX_DETAIL_CHARS) {
        kept.set(i, withoutDetails(record));
      }
    }
    return kept;
  }

  private static ChangeRecord withoutDetails(ChangeRecord record) {
    return new ChangeRecord(
        record.version(),
        record.commandId(),
        record.operator(),
        record.epochMillis(),
        record.command(),
        "",
        "");
  }
}
