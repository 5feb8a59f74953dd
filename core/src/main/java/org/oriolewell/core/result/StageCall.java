package org.oriolewell.core.result;

/**
 * Identifier of one attempt to run one stage of a request. No two attempts have the same
 * identifier, so a late message of an earlier attempt can't be taken for one of a later attempt.
 *
 * @param requestId identifier of the request, in hexadecimal
 * @param stage index of the stage in its pipeline, from 0
 * @param attempt number of the attempt at this stage, from 0
 */
public record StageCall(String requestId, int stage, int attempt) {}
