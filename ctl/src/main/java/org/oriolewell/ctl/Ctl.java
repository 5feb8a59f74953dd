package org.oriolewell.ctl;

import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.logging.Level;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.LogOutput;
import org.oriolewell.runtime.program.Version;

/**
 * Parses the command line, runs the statements and prints the answers, without ending the process.
 */
final class Ctl {
  private static final String PROGRAM_NAME = "oriolewellctl";
  private static final int HELP_WIDTH_CHARS = 100;

  private static final String EXIT_CODES_HELP =
      """

      Exit codes: 0 done; 1 the entry failed or did not answer; 2 the command line or a statement is
      wrong; 3 a file can't be read or the token was refused; 4 rejected, nothing was changed;
      5 the outcome is unknown, the message says how to settle it; 6 the answer is partial or a
      version is not in force everywhere.
      """;

  private final InstantSource clock;
  private final PrintStream out;
  private final PrintStream err;

  Ctl(InstantSource clock, PrintStream out, PrintStream err) {
    this.clock = clock;
    this.out = out;
    this.err = err;
  }

  /** Runs one command line and returns the exit code for the process. */
  int run(String... args) {
    CtlOptions options = new CtlOptions();
    CmdLineParser parser =
        new CmdLineParser(
            options,
            ParserProperties.defaults()
                .withUsageWidth(HELP_WIDTH_CHARS)
                .withOptionSorter(null)
                .withShowDefaults(false));
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println(PROGRAM_NAME + ": " + e.getMessage() + "; see " + PROGRAM_NAME + " --help.");
      return CtlExitCode.USAGE;
    }
    if (options.printHelp) {
      out.println("Usage: " + PROGRAM_NAME + " [options] STATEMENT");
      out.println("       " + PROGRAM_NAME + " [options] --script FILE");
      out.println();
      parser.printUsage(out);
      out.print(EXIT_CODES_HELP);
      return CtlExitCode.OK;
    }
    if (options.printVersion) {
      out.println(PROGRAM_NAME + " " + Version.current());
      return CtlExitCode.OK;
    }
    try {
      runStatements(options);
      return CtlExitCode.OK;
    } catch (CtlException e) {
      err.println(e.getMessage());
      return e.exitCode();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return CtlExitCode.FAILED;
    }
  }

  private void runStatements(CtlOptions options) throws CtlException, InterruptedException {
    List<String> statements = readStatements(options);
    LogOutput.install(options.debug ? Level.FINE : Level.WARNING);
    EventLog log = EventLog.of(PROGRAM_NAME, clock);
    Duration statementTimeout = Duration.ofSeconds(options.timeoutSeconds);
    try (AdminClient adminClient =
        AdminClient.start(
            parseEntryUrl(options.entryUrl), readToken(options.tokenFile), statementTimeout, log)) {
      Session session = new Session(adminClient, options, out, clock, log);
      for (String statement : statements) {
        session.run(statement);
      }
    }
  }

  /** Parses the value of {@code --entry}, which needs a scheme and a host. */
  private static URI parseEntryUrl(String urlText) throws CtlException {
    try {
      URI uri = URI.create(urlText);
      if (uri.getHost() != null && uri.getScheme() != null) {
        return uri;
      }
    } catch (IllegalArgumentException e) {
      throw invalidEntryUrl(urlText);
    }
    throw invalidEntryUrl(urlText);
  }

  private static CtlException invalidEntryUrl(String urlText) {
    return new CtlException(
        CtlExitCode.USAGE,
        "--entry "
            + urlText
            + " isn't a URL with scheme and host, for example http://127.0.0.1:8081.");
  }

  /**
   * Returns the statement of the command line or those of the script, without blank lines and lines
   * that start with {@code #}.
   */
  private static List<String> readStatements(CtlOptions options) throws CtlException {
    File scriptFile = options.scriptFile;
    if ((scriptFile == null) == options.statementWords.isEmpty()) {
      throw new CtlException(
          CtlExitCode.USAGE, "Give either a statement or --script FILE; see --help.");
    }
    return scriptFile == null
        ? List.of(String.join(" ", options.statementWords))
        : readFile(scriptFile)
            .lines()
            .map(String::strip)
            .filter(line -> !line.isEmpty() && !line.startsWith("#"))
            .toList();
  }

  /** Reads the bearer token from the file named by {@code --token-file}. */
  private static String readToken(@Nullable File file) throws CtlException {
    if (file == null) {
      throw new CtlException(
          CtlExitCode.SETTINGS, "Give the file that holds your token with --token-file FILE.");
    }
    return readFile(file).strip();
  }

  private static String readFile(File file) throws CtlException {
    try {
      return Files.readString(file.toPath());
    } catch (IOException e) {
      throw new CtlException(CtlExitCode.SETTINGS, file + " can't be read (" + e + ").");
    }
  }
}
