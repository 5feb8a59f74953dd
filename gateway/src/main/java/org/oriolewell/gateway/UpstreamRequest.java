package org.oriolewell.gateway;

import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP request to an upstream or to the store.
 *
 * @param method HTTP method
 * @param target path and query of the request line
 * @param headers headers other than Content-Length and Transfer-Encoding
 * @param body body; empty if there is none
 * @param attemptId identifier of the attempt; an answer that names another one is skipped, null
 *     accepts any answer
 */
public record UpstreamRequest(
    String method, String target, HttpFields headers, byte[] body, @Nullable String attemptId) {}
