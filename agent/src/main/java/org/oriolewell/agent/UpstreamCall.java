package org.oriolewell.agent;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.runtime.wire.Message;

/**
 * A call as an upstream sees it.
 *
 * @param message the dialer's message
 * @param payload its payload
 * @param stage the stage's configuration; null if this agent doesn't know it
 */
record UpstreamCall(Message.Call message, JsonNode payload, @Nullable StageSpec stage) {}
