package org.oriolewell.runtime.admin;

import java.util.LinkedHashMap;
import java.util.Map;
import org.oriolewell.runtime.http.HttpReply;

/** Ends a call of the admin API with a problem document (RFC 9457). */
final class ProblemException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int status;
  private final String kind;
  private final transient Map<String, Object> members;

  ProblemException(int status, String kind, String detail) {
    this(status, kind, detail, Map.of());
  }

  ProblemException(int status, String kind, String detail, Map<String, Object> members) {
    super(detail);
    this.status = status;
    this.kind = kind;
    this.members = members;
  }

  int status() {
    return status;
  }

  HttpReply reply() {
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("type", "urn:oriolewell:problem:" + kind);
    document.put("status", status);
    document.put("detail", String.valueOf(getMessage()));
    document.putAll(members);
    Map<String, String> headers = status == 401 ? Map.of("WWW-Authenticate", "Bearer") : Map.of();
    return HttpReply.problem(status, document, headers);
  }
}
