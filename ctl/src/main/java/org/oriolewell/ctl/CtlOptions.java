package org.oriolewell.ctl;

import java.io.File;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Options and arguments of the command line, filled in by args4j. */
final class CtlOptions {
  @Option(
      name = "--entry",
      metaVar = "URL",
      usage = "operators' port of an entry; default: http://127.0.0.1:8081")
  String entryUrl = "http://127.0.0.1:8081";

  @Option(name = "--token-file", metaVar = "FILE", usage = "file that holds the bearer token")
  @Nullable File tokenFile;

  @Option(name = "--format", usage = "format of answers; default: table")
  OutputFormat format = OutputFormat.table;

  @Option(name = "--script", metaVar = "FILE", usage = "run the statements of a file, one a line")
  @Nullable File scriptFile;

  @Option(
      name = "--expect",
      metaVar = "VERSION",
      usage = "configuration version that the first command builds on; default: the current one")
  long expectedVersion = -1;

  @Option(
      name = "--command-id",
      metaVar = "ID",
      usage = "id of the command, to repeat one of unknown outcome together with --expect")
  @Nullable String commandId;

  @Option(
      name = "--timeout",
      metaVar = "SECONDS",
      usage = "longest time for a statement, also for 'wait for version'; default: 10")
  int timeoutSeconds = 10;

  @Option(name = "--debug", usage = "log requests to the standard error stream")
  boolean debug;

  @Option(name = "--version", usage = "print the version and exit")
  boolean printVersion;

  @Option(
      name = "--help",
      aliases = {"-h"},
      help = true,
      usage = "print this help and exit")
  boolean printHelp;

  @Argument(metaVar = "STATEMENT", usage = "a statement of the language in docs/language.md")
  List<String> statementWords = new ArrayList<>();
}
