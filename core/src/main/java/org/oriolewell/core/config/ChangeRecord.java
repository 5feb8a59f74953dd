package org.oriolewell.core.config;

/**
 * An accepted change, as the audit keeps it.
 *
 * @param version version that the change made
 * @param commandId identity of the operator's command
 * @param operator operator who gave it
 * @param epochMillis time of acceptance, in milliseconds since the epoch
 * @param command text of the command
 * @param before affected objects before the change, as JSON
 * @param after affected objects after the change, as JSON
 */
public record ChangeRecord(
    long version,
    String commandId,
    String operator,
    long epochMillis,
    String command,
    String before,
    String after) {}
