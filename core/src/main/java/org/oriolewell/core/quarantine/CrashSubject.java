package org.oriolewell.core.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Names of what requests have in common that may crash upstreams: the id of a part of their prompt,
 * or the fingerprint of the whole request.
 *
 * <p>Callers choose the ids of prompt parts. A fingerprint covers the workspace, so that a caller
 * can't give a request the fingerprint of another workspace's, and reveals nothing of the body.
 */
public final class CrashSubject {
  private static final String REQUEST_PREFIX = "request-";

  /** Length of a fingerprint in bytes; two requests don't share one by chance. */
  private static final int FINGERPRINT_BYTES = 16;

  private CrashSubject() {}

  /**
   * Returns the subject of all requests with the same target, workspace and body.
   *
   * @param workspace name of the caller's workspace; empty if the route needs no key
   */
  public static String ofRequest(
      String method, String host, String target, String workspace, byte[] body) {
    MessageDigest digest = sha256();
    for (String field : new String[] {method, host, target, workspace}) {
      byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
      digest.update(bytes);
    }
    byte[] hash = digest.digest(body);
    return REQUEST_PREFIX + HexFormat.of().formatHex(hash, 0, FINGERPRINT_BYTES);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime has no SHA-256", e);
    }
  }

  /** Returns whether a subject is the fingerprint of a whole request. */
  public static boolean isRequest(String subject) {
    return subject.startsWith(REQUEST_PREFIX);
  }

  /** Returns a subject as messages and logs name it. */
  public static String describe(String subject) {
    return isRequest(subject) ? subject.replace('-', ' ') : "prompt part " + subject;
  }
}
