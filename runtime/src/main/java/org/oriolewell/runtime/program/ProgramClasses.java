package org.oriolewell.runtime.program;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.jar.JarFile;

/**
 * Loads the classes of a program's jar that requests use, so that the class data sharing archive,
 * which the build records, contains them. A restarted process would otherwise read and verify them
 * while the first requests wait.
 */
final class ProgramClasses {
  /** Packages that requests use: the product, its data formats and its HTTP library. */
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

  private static final String CLASS_FILE_SUFFIX = ".class";

  private ProgramClasses() {}

  /**
   * Loads the classes of {@link #PACKAGES} without initializing them.
   *
   * @return the number of classes that could be loaded; 0 if the program does not run from a jar
   * @throws IOException if the jar can't be read
   */
  static int load() throws IOException {
    Path jar = programLocation();
    if (!Files.isRegularFile(jar)) {
      return 0;
    }
    int loadedCount = 0;
    try (JarFile jarFile = new JarFile(jar.toFile())) {
      List<String> classFileNames =
          jarFile.stream()
              .map(entry -> entry.getName())
              .filter(name -> name.endsWith(CLASS_FILE_SUFFIX))
              .filter(name -> PACKAGES.stream().anyMatch(name::startsWith))
              .toList();
      for (String fileName : classFileNames) {
        if (tryLoad(
            fileName
                .substring(0, fileName.length() - CLASS_FILE_SUFFIX.length())
                .replace('/', '.'))) {
          loadedCount++;
        }
      }
    }
    return loadedCount;
  }

  private static Path programLocation() throws IOException {
    try {
      return Path.of(
          ProgramClasses.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    } catch (URISyntaxException e) {
      throw new IOException("the program's location is not a file path", e);
    }
  }

  private static boolean tryLoad(String className) {
    try {
      Class.forName(className, false, ProgramClasses.class.getClassLoader());
      return true;
    } catch (ClassNotFoundException | LinkageError e) {
      // The class belongs to an optional integration whose library isn't in the jar.
      return false;
    }
  }
}
