package org.oriolewell.core.placement;

/**
 * Size of a request to a model engine, as its caller states it.
 *
 * @param promptTokens tokens of the whole prompt; 0 if not stated
 * @param sharedTokens tokens of the parts of the prompt that other requests have, too
 * @param maxOutputTokens most tokens of the answer; 0 if not stated
 */
public record PromptSize(int promptTokens, int sharedTokens, int maxOutputTokens) {
  /** Size of a request that states none. */
  public static final PromptSize UNKNOWN = new PromptSize(0, 0, 0);
}
