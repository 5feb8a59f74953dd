package org.oriolewell.gateway;

import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/**
 * A request to an upstream.
 *
 * @param method HTTP method
 * @param target path and query
 * @param headers headers without framing
 * @param body body
 * @param attemptId identifier that the answer must carry; null if any answer is taken
 */
public record UpstreamRequest(
    String method, String target, HttpFields headers, byte[] body, @Nullable String attemptId) {}
