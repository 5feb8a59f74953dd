package org.oriolewell.core.result;

/**
 * Identity of one attempt of one stage of a request. Two attempts never share an identity, so a
 * late message of an earlier attempt can't be taken for one of a later attempt.
 *
 * @param requestId request, in hexadecimal
 * @param stage index of the stage in its pipeline, from 0
 * @param attempt attempt of this stage, from 0
 */
public record StageCall(String requestId, int stage, int attempt) {}
