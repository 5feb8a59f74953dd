package org.oriolewell.entry;

import org.oriolewell.runtime.program.Program;

/** The entry program: takes callers' requests and runs their pipelines. */
public final class EntryMain {
  private EntryMain() {}

  /** Runs the program; {@code --help} lists its options. */
  public static void main(String[] args) {
    Program.of(
            "oriolewell-entry", EntrySettings.SPEC, settings -> Entry.start(settings, server -> {}))
        .main(args);
  }
}
