package org.oriolewell.runtime.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** Makes an authority and certificates for tests with the JDK's keytool. */
final class TestCertificates {
  private static final String PASSWORD = "changeit";

  private final Path folder;

  TestCertificates(Path folder) throws Exception {
    this.folder = folder;
    keytool("-genkeypair", "-alias", "ca", "-dname", "CN=ca", "-ext", "bc:c");
  }

  /** Makes a certificate signed by the authority and writes its PEM files. */
  PemFiles issue(String name) throws Exception {
    keytool("-genkeypair", "-alias", name, "-dname", "CN=" + name);
    Path request = folder.resolve(name + ".csr");
    Path signed = folder.resolve(name + ".crt");
    keytool("-certreq", "-alias", name, "-file", request.toString());
    keytool(
        "-gencert", "-alias", "ca", "-infile", request.toString(), "-outfile", signed.toString());
    keytool("-importcert", "-alias", name, "-file", signed.toString(), "-noprompt");
    return write(name);
  }

  private PemFiles write(String name) throws Exception {
    KeyStore store = KeyStore.getInstance(folder.resolve("keys.p12").toFile(), password());
    Path certificate = folder.resolve(name + ".pem");
    Path key = folder.resolve(name + ".key");
    Path authorities = folder.resolve("ca.pem");
    Files.writeString(certificate, pem("CERTIFICATE", store.getCertificate(name)));
    Files.writeString(authorities, pem("CERTIFICATE", store.getCertificate("ca")));
    Files.writeString(key, pem("PRIVATE KEY", store.getKey(name, password()).getEncoded()));
    return new PemFiles(certificate, key, authorities);
  }

  private static char[] password() {
    return PASSWORD.toCharArray();
  }

  private static String pem(String kind, Certificate certificate) throws Exception {
    return pem(kind, certificate.getEncoded());
  }

  private static String pem(String kind, byte[] bytes) {
    return "-----BEGIN "
        + kind
        + "-----\n"
        + Base64.getMimeEncoder().encodeToString(bytes)
        + "\n-----END "
        + kind
        + "-----\n";
  }

  private void keytool(String... arguments) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "keytool").toString());
    // The interpreter alone is faster for a program that runs this shortly.
    command.add("-J-XX:TieredStopAtLevel=1");
    command.addAll(List.of(arguments));
    command.addAll(
        List.of("-keystore", folder.resolve("keys.p12").toString(), "-storepass", PASSWORD));
    if (arguments[0].equals("-genkeypair")) {
      command.addAll(List.of("-keyalg", "EC", "-validity", "30"));
    }
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("keytool.log").toFile())
            .start();
    if (process.waitFor() != 0) {
      throw new IOException(
          command + " failed: " + Files.readString(folder.resolve("keytool.log")));
    }
  }
}
