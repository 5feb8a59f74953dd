package org.oriolewell.gateway;

import org.eclipse.jetty.http.HttpFields;

/**
 * A complete HTTP request of a caller.
 *
 * @param method HTTP method
 * @param target path and query, as the caller sent them
 * @param headers headers, as the caller sent them
 * @param body body without chunk framing
 * @param receivedAt time at which its last byte was read, monotonic nanoseconds
 */
record CallerRequest(
    String method, String target, HttpFields headers, byte[] body, long receivedAt) {

  /** Returns the path without the query. */
  String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
