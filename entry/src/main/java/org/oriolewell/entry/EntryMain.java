package org.oriolewell.entry;

import org.oriolewell.runtime.program.Program;

/** Main class of the entry process, which accepts callers' requests and runs their pipelines. */
public final class EntryMain {
  private EntryMain() {}

  /** Starts the entry with the given command-line arguments; {@code --help} lists the options. */
  public static void main(String[] args) {
    Program.of(
            "oriolewell-entry", EntrySettings.SPEC, settings -> Entry.start(settings, server -> {}))
        .main(args);
  }
}
