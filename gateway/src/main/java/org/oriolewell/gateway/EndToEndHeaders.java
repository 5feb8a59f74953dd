package org.oriolewell.gateway;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Filters the headers that a gateway forwards. */
public final class EndToEndHeaders {
  /** Lower-case names of hop-by-hop and framing headers (RFC 9110, section 7.6.1). */
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

  /** Returns the headers without hop-by-hop, framing and {@code Connection}-listed ones. */
  public static HttpFields of(HttpFields headers) {
    Set<String> droppedNames = new HashSet<>(HOP_BY_HOP);
    headers
        .getCSV(HttpHeader.CONNECTION, false)
        .forEach(name -> droppedNames.add(name.toLowerCase(Locale.ROOT)));
    HttpFields.Mutable keptHeaders = HttpFields.build();
    for (HttpField field : headers) {
      if (!droppedNames.contains(field.getLowerCaseName())) {
        keptHeaders.add(field);
      }
    }
    return keptHeaders.asImmutable();
  }
}
