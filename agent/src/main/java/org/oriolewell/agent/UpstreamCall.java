package org.oriolewell.agent;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.runtime.wire.Message;

/**
 * A call as it is passed to the upstream.
 *
 * @param message the dialer's CALL message
 * @param payload parsed payload of the message
 * @param stage configuration of the stage that the call belongs to; null if it isn't known
 */
record UpstreamCall(Message.Call message, JsonNode payload, @Nullable StageSpec stage) {}
