package org.oriolewell.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The change log in a document. It keeps the last {@value #MAX_CHANGES} changes with their command
 * ids. It keeps the affected objects up to {@value #MAX_DETAIL_CHARS} characters in total, so that
 * changes of many objects don't push the document over its size limit; the oldest changes lose
 * their objects first.
 */
public final class ChangeLog {
  /** Most changes that the change log of a document keeps. */
  public static final int MAX_CHANGES = 64;

  static final int MAX_DETAIL_CHARS = 256 << 10;

  private ChangeLog() {}

  /** Returns the change of a command, if the change log still holds it. */
  public static Optional<ChangeRecord> find(ConfigDocument document, String commandId) {
    return document.changes().stream()
        .filter(change -> change.commandId().equals(commandId))
        .findFirst();
  }

  /** Returns the change that created a version, if the change log still holds it. */
  public static Optional<ChangeRecord> find(ConfigDocument document, long version) {
    return document.changes().stream().filter(change -> change.version() == version).findFirst();
  }

  static boolean hasDetails(ChangeRecord change) {
    return !change.after().isEmpty();
  }

  static List<ChangeRecord> append(List<ChangeRecord> changes, ChangeRecord change) {
    List<ChangeRecord> allChanges = new ArrayList<>(changes);
    allChanges.add(change);
    List<ChangeRecord> keptChanges =
        new ArrayList<>(
            allChanges.subList(Math.max(0, allChanges.size() - MAX_CHANGES), allChanges.size()));
    int detailChars = 0;
    for (int i = keptChanges.size() - 1; i >= 0; i--) {
      ChangeRecord record = keptChanges.get(i);
      detailChars += record.before().length() + record.after().length();
      if (detailChars > MAX_DETAIL_CHARS) {
        keptChanges.set(i, withoutDetails(record));
      }
    }
    return keptChanges;
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
