package org.oriolewell.gateway;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.quarantine.CrashSubject;

/**
 * What one request has in common with others that may crash upstreams. The fingerprint is computed
 * at its first use, which comes only while some subject is suspected.
 */
final class CrashSubjects {
  private final CallerRequest request;
  private final String host;
  private final String workspace;
  private final List<String> promptParts;
  private @Nullable List<String> subjects;

  /**
   * Creates the subjects of a request.
   *
   * @param workspace name of the caller's workspace; empty if the route needs no key
   * @param promptParts ids of the prompt's parts that other requests may share
   */
  CrashSubjects(CallerRequest request, String host, String workspace, List<String> promptParts) {
    this.request = request;
    this.host = host;
    this.workspace = workspace;
    this.promptParts = promptParts.stream().filter(part -> !CrashSubject.isRequest(part)).toList();
  }

  /** Returns the prompt parts that other requests may share. */
  List<String> promptParts() {
    return promptParts;
  }

  /** Returns the fingerprint of the request and its shared prompt parts. */
  List<String> all() {
    List<String> known = subjects;
    if (known == null) {
      known = new ArrayList<>(List.of(fingerprint()));
      known.addAll(promptParts);
      subjects = known;
    }
    return known;
  }

  boolean contains(String subject) {
    return CrashSubject.isRequest(subject)
        ? all().contains(subject)
        : promptParts.contains(subject);
  }

  private String fingerprint() {
    return CrashSubject.ofRequest(
        request.method(), host, request.target(), workspace, request.body());
  }
}
