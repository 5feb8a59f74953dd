package org.oriolewell.runtime.program;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.jar.JarFile;

/**
 * Loads the classes of a program's jar that serving needs, so that the class archive of a build
 * holds them. A restarted process otherwise reads and verifies them while the first requests wait.
 */
final class ProgramClasses {
  /** Packages that requests use: the product, its formats and its HTTP code. */
  private static final List<String> PACKAGES =
      List.of(
          "org/oriolewell/core/",
          "org/oriolewell/runtime/",
          "org/oriolewell/gateway/",
          "org/oriolewell/platform/",
          "org/msgpack/core/",
          "com/fasterxml/jackson/core/",
          "com/fasterxml/jackson/databind/node/",
          "org/eclipse/jetty/http/",
          "org/eclipse/jetty/io/",
          "org/eclipse/jetty/util/thread/");

  private static final String SUFFIX = ".class";

  private ProgramClasses() {}

  /**
   * Loads the classes without initializing them.
   *
   * @return the number of classes that could be loaded; 0 if the program does not run from a jar
   * @throws IOException if the jar can't be read
   */
  static int load() throws IOException {
    Path jar = location();
    if (!Files.isRegularFile(jar)) {
      return 0;
    }
    int loaded = 0;
    try (JarFile file = new JarFile(jar.toFile())) {
      List<String> names =
          file.stream()
              .map(entry -> entry.getName())
              .filter(name -> name.endsWith(SUFFIX))
              .filter(name -> PACKAGES.stream().anyMatch(name::startsWith))
              .toList();
      for (String name : names) {
        if (isLoadable(name.substring(0, name.length() - SUFFIX.length()).replace('/', '.'))) {
          loaded++;
        }
      }
    }
    return loaded;
  }

  private static Path location() throws IOException {
    try {
      return Path.of(
          ProgramClasses.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    } catch (URISyntaxException e) {
      throw new IOException("the program's location is no path", e);
    }
  }

  private static boolean isLoadable(String name) {
    try {
      Class.forName(name, false, ProgramClasses.class.getClassLoader());
      return true;
    } catch (ClassNotFoundException | LinkageError e) {
      // A class of an optional integration whose library is not part of the jar.
      return false;
    }
  }
}
