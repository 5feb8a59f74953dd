package org.oriolewell.gateway;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * File descriptors of this process, as Linux reports them. Java's management beans report them too,
 * but take up more memory.
 */
final class ProcessDescriptors {
  private static final String LIMIT_NAME = "Max open files";

  /** Limit that is assumed where the system reports none: the usual one of a service. */
  private static final long DEFAULT_LIMIT = 1024;

  private ProcessDescriptors() {}

  /** Returns how many descriptors the process may open. */
  static long limit() {
    try {
      return Files.readAllLines(Path.of("/proc/self/limits")).stream()
          .filter(line -> line.startsWith(LIMIT_NAME))
          .map(line -> line.substring(LIMIT_NAME.length()).strip().split(" +")[0])
          .mapToLong(limit -> limit.equals("unlimited") ? Integer.MAX_VALUE : Long.parseLong(limit))
          .findFirst()
          .orElse(DEFAULT_LIMIT);
    } catch (IOException | NumberFormatException e) {
      return DEFAULT_LIMIT;
    }
  }

  /** Returns how many descriptors are open; 0 if that is not known. */
  static long open() {
    String[] descriptors = new File("/proc/self/fd").list();
    return descriptors == null ? 0 : descriptors.length;
  }
}
