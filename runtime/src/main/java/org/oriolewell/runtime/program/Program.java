package org.oriolewell.runtime.program;

import java.io.File;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import org.oriolewell.runtime.log.LogOutput;
import org.oriolewell.runtime.settings.Settings;
import org.oriolewell.runtime.settings.SettingsException;
import org.oriolewell.runtime.settings.SettingsSpec;

/**
 * Command line and life cycle of a program that runs until it is stopped.
 *
 * <p>Example: {@code Program.of("oriolewell-entry", EntrySettings.SPEC, Entry::start).main(args)}.
 */
public final class Program {
  static {
    LogOutput.selectManager();
  }

  /** Starts the service that a program runs. */
  @FunctionalInterface
  public interface Starter {
    /** Returns the running service; closing it is a planned stop that finishes work in flight. */
    AutoCloseable start(Settings settings) throws Exception;
  }

  /** A service that can apply changed settings while it runs. */
  public interface Reloadable {
    /** Applies the settings of the file, which was read again after SIGHUP. */
    void reload(Settings settings);

    /** Called after SIGHUP if the changed settings file is not valid; the old settings stay. */
    void reloadRefused(List<String> problems);
  }

  private final String name;
  private final SettingsSpec spec;
  private final Starter starter;
  private final boolean logsToQueuedOutput;

  private Program(String name, SettingsSpec spec, Starter starter, boolean logsToQueuedOutput) {
    this.name = name;
    this.spec = spec;
    this.starter = starter;
    this.logsToQueuedOutput = logsToQueuedOutput;
  }

  /**
   * Returns a program that logs to the standard error stream.
   *
   * @param name name of the program in usage texts and error messages
   * @param spec settings that the program accepts
   * @param starter starts the program's service
   */
  public static Program of(String name, SettingsSpec spec, Starter starter) {
    return new Program(name, spec, starter, false);
  }

  /** Returns a copy of the program that logs to standard output from a queue, without blocking. */
  public Program withQueuedOutput() {
    return new Program(name, spec, starter, true);
  }

  /** Runs the program and ends the process with one of the codes in {@link ExitCode}. */
  public void main(String[] args) {
    int exitCode = run(args, System.out, System.err);
    System.exit(exitCode);
  }

  /** Runs the program until it is stopped, and returns its exit code. */
  int run(String[] args, PrintStream out, PrintStream err) {
    Options options = new Options();
    CmdLineParser parser =
        new CmdLineParser(options, ParserProperties.defaults().withUsageWidth(100));
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println(name + ": " + e.getMessage() + "; see " + name + " --help.");
      return ExitCode.USAGE;
    }
    if (options.help) {
      out.println("Usage: " + name + " [options]");
      parser.printUsage(out);
      return ExitCode.OK;
    }
    if (options.version) {
      out.println(name + " " + Version.current());
      return ExitCode.OK;
    }
    if (options.printDefaults) {
      out.print(spec.printDefaults());
      return ExitCode.OK;
    }
    Settings settings;
    try {
      File file = options.settings;
      settings = file == null ? spec.defaults() : spec.load(file.toPath());
    } catch (SettingsException e) {
      e.problems().forEach(err::println);
      return ExitCode.SETTINGS;
    }
    if (options.check) {
      out.println("The settings are valid.");
      return ExitCode.OK;
    }
    return serve(settings, options, err);
  }

  private int serve(Settings settings, Options options, PrintStream err) {
    Level level = options.debug ? Level.FINE : Level.INFO;
    if (logsToQueuedOutput) {
      LogOutput.installQueued(level);
    } else {
      LogOutput.install(level);
    }
    CountDownLatch stopped = new CountDownLatch(1);
    try {
      AutoCloseable service = starter.start(settings);
      if (options.startAndStop) {
        ProgramClasses.load();
        service.close();
        return ExitCode.OK;
      }
      if (service instanceof Reloadable reloadable && options.settings != null) {
        Path file = options.settings.toPath();
        HangupSignal.handle(() -> reload(file, reloadable));
      }
      Runtime.getRuntime().addShutdownHook(new Thread(() -> closeService(service, err), "stop"));
      stopped.await();
    } catch (Exception e) {
      err.println(name + ": cannot start: " + e.getMessage());
      return ExitCode.FAILED;
    }
    return ExitCode.OK;
  }

  private void reload(Path file, Reloadable service) {
    try {
      service.reload(spec.load(file));
    } catch (SettingsException e) {
      service.reloadRefused(e.problems());
    }
  }

  private static void closeService(AutoCloseable service, PrintStream err) {
    try {
      service.close();
    } catch (Exception e) {
      err.println("the stop failed: " + e);
    }
    LogOutput.flush();
  }

  /** Command-line options that all server programs accept. */
  static final class Options {
    @Option(name = "--settings", metaVar = "FILE", usage = "TOML file with the settings")
    @Nullable File settings;

    @Option(name = "--check", usage = "check the settings and exit")
    boolean check;

    @Option(name = "--print-defaults", usage = "print all settings with their defaults and exit")
    boolean printDefaults;

    @Option(
        name = "--start-and-stop",
        usage = "start, stop in order and exit; a build uses it to record the classes of a start")
    boolean startAndStop;

    @Option(name = "--debug", usage = "log connections and other details")
    boolean debug;

    @Option(name = "--version", usage = "print the version and exit")
    boolean version;

    @Option(
        name = "--help",
        aliases = {"-h"},
        help = true,
        usage = "print this help and exit")
    boolean help;
  }
}
