package org.oriolewell.gateway;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** The headers that a gateway passes on. */
public final class EndToEndHeaders {
  /** Headers that concern one connection only, or the framing (RFC 9110, section 7.6.1). */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect");

  private EndToEndHeaders() {}

  /** Returns the headers without those that concern only one connection or the framing. */
  public static HttpFields of(HttpFields headers) {
    Set<String> dropped = new HashSet<>(HOP_BY_HOP);
    headers
        .getCSV(HttpHeader.CONNECTION, false)
        .forEach(name -> dropped.add(name.toLowerCase(Locale.ROOT)));
    HttpFields.Mutable kept = HttpFields.build();
    for (HttpField field : headers) {
      if (!dropped.contains(field.getLowerCaseName())) {
        kept.add(field);
      }
    }
    return kept.asImmutable();
  }
}
