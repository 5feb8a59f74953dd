package org.oriolewell.core.config;

/**
 * An accepted command with its effect, as the change log of the document keeps it.
 *
 * @param version configuration version that the command created
 * @param commandId id that the operator's program gave the command
 * @param operator name of the operator who sent the command
 * @param epochMillis time of acceptance, in milliseconds since the epoch
 * @param command text of the command
 * @param before affected objects before the command, as JSON; empty if no longer kept
 * @param after affected objects after the command, as JSON; empty if no longer kept
 */
public record ChangeRecord(
    long version,
    String commandId,
    String operator,
    long epochMillis,
    String command,
    String before,
    String after) {}
