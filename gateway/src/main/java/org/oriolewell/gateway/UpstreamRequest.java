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
 * @param attemptId identifier of the attempt; an answer that names another one is skipped. An
 *     attempt whose identifier is empty, or was carried by a connection before, is sent on another
 *     connection, since its answer can't be told from a repeated one. Null for calls that carry no
 *     identifiers: any answer is accepted
 */
public record UpstreamRequest(
    String method, String target, HttpFields headers, byte[] body, @Nullable String attemptId) {}
